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

/** The built jar with a few lines of its sources replaced: a version with a planted defect, or one that does worse. */
public final class PatchedJar {
    private static final Path SOURCES = Path.of("src/main/java/granitefold");
    private static final String TAKEN_IN = "        if (owed.size() >= core.bounds.requests()) {";

    private static final String ANSWERED = "        finish(context);\n        reply(context.client, context.submission, answer);";

    /** In a source file, below the package's folder, one text takes the place of another, which has to be there. */
    public record Patch(String file, String from, String to) { }

    private PatchedJar() { }

    /** Builds one, named so, in a folder. */
    public static Path build(Path jar, Path folder, String name, Patch... patches) throws IOException {
        Path classes = Files.createDirectories(folder.resolve(name + "-classes"));
        for (Patch p : patches) {
            Path source = folder.resolve(name).resolve(p.file());
            // of two patches in one file the second one reads what the first one left
            String text = Files.readString(Files.exists(source) ? source : SOURCES.resolve(p.file()));
            if (!text.contains(p.from())) {
                throw new IllegalArgumentException(p.file() + " has no longer: " + p.from());
            }
            Files.createDirectories(source.getParent());
            Files.writeString(source, text.replace(p.from(), p.to()));
        }
        List<String> sources = Stream.of(patches).map(p -> folder.resolve(name).resolve(p.file()).toString()).distinct().toList();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null) {
            throw new IOException("there is no compiler here: a JDK is needed");
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

    /** Rejects a share of the requests, drawn by their ids, with no regard to anything. */
    public static Patch rejectShare(double share) {
        return new Patch("core/Requests.java", TAKEN_IN, String.format(Locale.ROOT,
                "        if (owed.size() >= core.bounds.requests() || Math.floorMod(submitted.name().hashCode() * 0x9E3779B9 >>> 7, 1000) < %d) {", Math.round(share * 1000)));
    }

    /** Rejects whatever a tenant asks, by its place in the settings. */
    public static Patch rejectTenant(int tenant) {
        return new Patch("core/Requests.java", TAKEN_IN, "        if (owed.size() >= core.bounds.requests() || submitted.tenant() == " + tenant + ") {");
    }

    /** Gives each answer so much later. */
    public static Patch delayAnswers(long ms) {
        return new Patch("core/Requests.java", ANSWERED, "        core.timers.at(core.now + " + ms * 1000 + "L, t -> {\n            if (!context.finished) {\n                finish(context);\n"
                        + "                reply(context.client, context.submission, answer);\n            }\n        });");
    }

    /** Takes requests in and never answers, though it says that it serves. */
    public static Patch neverAnswer() {
        return new Patch("core/Requests.java", ANSWERED, "        if (core.now > 0) {\n            return;\n        }\n" + ANSWERED);
    }

    /** Ends by itself so long after its first request. */
    public static Patch exitAfter(long ms) {
        return new Patch("core/Requests.java", TAKEN_IN, "        if (System.nanoTime() - BORN.updateAndGet(b -> b == 0 ? System.nanoTime() : b) > "
                + ms * 1_000_000 + "L) {\n            Runtime.getRuntime().halt(3);\n        }\n" + TAKEN_IN);
    }

    /** Goes with {@link #exitAfter}: the field that it keeps. */
    public static Patch exitTimerField() {
        return new Patch("core/Requests.java", "    private long lastId;",
                "    private static final java.util.concurrent.atomic.AtomicLong BORN = new java.util.concurrent.atomic.AtomicLong();\n    private long lastId;");
    }

    /** Keeps so many bytes of each request for good, outside the heap. */
    public static Patch leakMemory(int bytes) {
        return new Patch("core/Requests.java", TAKEN_IN, "        java.nio.ByteBuffer leak = java.nio.ByteBuffer.allocateDirect(" + bytes
                + ");\n        while (leak.hasRemaining()) {\n            leak.put((byte) 1);\n        }\n        LEAK.add(leak);\n" + TAKEN_IN);
    }

    /** Goes with {@link #leakMemory}: the field that it fills. */
    public static Patch leakField() {
        return new Patch("core/Requests.java", "    private long lastId;",
                "    private static final java.util.List<Object> LEAK = new java.util.ArrayList<>();\n    private long lastId;");
    }
}
