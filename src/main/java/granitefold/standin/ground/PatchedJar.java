package granitefold.standin.ground;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/** Builds variants of the jar with some source lines replaced: versions with a planted defect or worse performance. */
public final class PatchedJar {
    private static final Path SOURCES = Path.of("src/main/java/granitefold");
    private static final String TAKEN_IN = "        if (owed.size() >= core.bounds.requests()) {";

    private static final String ANSWERED = "        finish(context);\n        reply(context.client, context.submission(), answer);";

    /** Replaces {@code from}, which must be present, with {@code to} in a source file; the path is relative to the root package's folder. */
    public record Patch(String file, String from, String to) { }

    private PatchedJar() { }

    /** Builds the variant {@code name} in the given folder. */
    public static Path build(Path jar, Path folder, String name, Patch... patches) throws IOException {
        Path classes = Files.createDirectories(folder.resolve(name + "-classes"));
        for (Patch p : patches) {
            Path source = folder.resolve(name).resolve(p.file());
            // a second patch of the same file applies to the result of the first
            String text = Files.readString(Files.exists(source) ? source : SOURCES.resolve(p.file()));
            if (!text.contains(p.from())) {
                throw new IllegalArgumentException(p.file() + " does not contain the text to replace: " + p.from());
            }
            Files.createDirectories(source.getParent());
            Files.writeString(source, text.replace(p.from(), p.to()));
        }
        List<String> sources = Stream.of(patches).map(p -> folder.resolve(name).resolve(p.file()).toString()).distinct().toList();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new IOException("no Java compiler found: run with a JDK");
        }
        String[] arguments = Stream.concat(Stream.of("--release", "17", "-nowarn", "-proc:none", "-XDstringConcat=inline", "-d", classes.toString(), "-cp",
                jar.toString() + File.pathSeparator + jar.resolveSibling("classes")), sources.stream()).toArray(String[]::new);
        if (compiler.run(null, null, System.err, arguments) != 0) {
            throw new IllegalArgumentException(name + " does not compile");
        }
        Path made = folder.resolve(name + ".jar");
        Files.copy(jar, made, StandardCopyOption.REPLACE_EXISTING);
        try (FileSystem zip = FileSystems.newFileSystem(made); Stream<Path> all = Files.walk(classes)) {
            all.filter(Files::isRegularFile).forEach(c -> {
                try {
                    Files.copy(c, zip.getPath(classes.relativize(c).toString()), StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        return made;
    }

    /** Rejects a share of all requests, chosen by a hash of the request id. */
    public static Patch rejectShare(double share) {
        return new Patch("core/Requests.java", TAKEN_IN, String.format(Locale.ROOT,
                "        if (owed.size() >= core.bounds.requests() || Math.floorMod(submitted.name().hashCode() * 0x9E3779B9 >>> 7, 1000) < %d) {", Math.round(share * 1000)));
    }

    /** Rejects all requests of a tenant, given by its index in the settings. */
    public static Patch rejectTenant(int tenant) {
        return new Patch("core/Requests.java", TAKEN_IN, "        if (owed.size() >= core.bounds.requests() || submitted.tenant() == " + tenant + ") {");
    }

    /** Delays each answer by {@code ms}. */
    public static Patch delayAnswers(long ms) {
        return new Patch("core/Requests.java", ANSWERED, "        core.timers.at(core.now + " + ms * 1000 + "L, t -> {\n            if (!context.finished()) {\n                finish(context);\n"
                        + "                reply(context.client, context.submission(), answer);\n            }\n        });");
    }

    /** Accepts requests and never answers them, while health checks still succeed. */
    public static Patch neverAnswer() {
        return new Patch("core/Requests.java", ANSWERED, "        if (core.now > 0) {\n            return;\n        }\n" + ANSWERED);
    }

    /** Terminates the process {@code ms} after its first request. */
    public static Patch exitAfter(long ms) {
        return new Patch("core/Requests.java", TAKEN_IN, "        if (System.nanoTime() - BORN.updateAndGet(b -> b == 0 ? System.nanoTime() : b) > "
                + ms * 1_000_000 + "L) {\n            Runtime.getRuntime().halt(3);\n        }\n" + TAKEN_IN);
    }

    /** Declares the field that {@link #exitAfter} uses. */
    public static Patch exitTimerField() {
        return new Patch("core/Requests.java", "    private long lastId;",
                "    private static final java.util.concurrent.atomic.AtomicLong BORN = new java.util.concurrent.atomic.AtomicLong();\n    private long lastId;");
    }

    /** Leaks {@code bytes} of off-heap memory with each request. */
    public static Patch leakMemory(int bytes) {
        return new Patch("core/Requests.java", TAKEN_IN, "        java.nio.ByteBuffer leak = java.nio.ByteBuffer.allocateDirect(" + bytes
                + ");\n        while (leak.hasRemaining()) {\n            leak.put((byte) 1);\n        }\n        LEAK.add(leak);\n" + TAKEN_IN);
    }

    /** Declares the field that {@link #leakMemory} fills. */
    public static Patch leakField() {
        return new Patch("core/Requests.java", "    private long lastId;",
                "    private static final java.util.List<Object> LEAK = new java.util.ArrayList<>();\n    private long lastId;");
    }
}
