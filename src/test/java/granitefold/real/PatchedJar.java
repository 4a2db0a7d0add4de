package granitefold.real;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.ToolProvider;

/** The built jar with a few lines of its sources replaced: a version with a planted defect. */
final class PatchedJar {
    private static final Path SOURCES = Path.of("src/main/java/granitefold"), BUILT = Path.of("target/granitefold.jar");

    /** In a source file, one text takes the place of another, which has to be there. */
    record Patch(String file, String from, String to) { }

    private PatchedJar() { }

    static Path make(Path folder, String name, Patch... patches) throws IOException {
        Path classes = Files.createDirectories(folder.resolve(name + "-classes"));
        for (Patch p : patches) {
            String text = Files.readString(SOURCES.resolve(p.file()));
            assertTrue(text.contains(p.from()), p.file() + " has no longer: " + p.from());
            Path source = folder.resolve(name).resolve(p.file());
            Files.createDirectories(source.getParent());
            // of two patches in one file the second one reads what the first one left
            Files.writeString(source, (Files.exists(source) ? Files.readString(source) : text).replace(p.from(), p.to()));
        }
        List<String> sources = Stream.of(patches).map(p -> folder.resolve(name).resolve(p.file()).toString()).distinct().toList();
        String[] arguments = Stream.concat(Stream.of("--release", "17", "-nowarn", "-XDstringConcat=inline", "-d", classes.toString(), "-cp",
                "target/classes" + java.io.File.pathSeparator + System.getProperty("java.class.path")), sources.stream()).toArray(String[]::new);
        assertTrue(ToolProvider.getSystemJavaCompiler().run(null, null, System.err, arguments) == 0, name + " compiles");
        Path jar = folder.resolve(name + ".jar");
        Files.copy(BUILT, jar, StandardCopyOption.REPLACE_EXISTING);
        try (FileSystem zip = FileSystems.newFileSystem(jar); Stream<Path> made = Files.walk(classes)) {
            made.filter(Files::isRegularFile).forEach(c -> {
                try {
                    Files.copy(c, zip.getPath(classes.relativize(c).toString()), StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        return jar;
    }
}
