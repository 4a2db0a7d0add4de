package granitefold.real;

import granitefold.standin.ground.PatchedJar;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/** A variant of the program whose event loop pauses before the answer to each health check. */
final class BusyLoop implements Closeable {
    private static final String HANDLE_EVENT = "    private void handle(Event event) {\n";

    private final Path folder = Files.createTempDirectory("busy");
    private final Path jar;

    BusyLoop(long pauseNs) throws IOException {
        jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "busy", new PatchedJar.Patch("net/EventLoop.java", HANDLE_EVENT,
                HANDLE_EVENT + "        if (event instanceof Event.AnsweredLocally) {\n            java.util.concurrent.locks.LockSupport.parkNanos("
                        + pauseNs + "L);\n        }\n"));
    }

    /** Returns the environment variables that start the variant. */
    Map<String, String> environment() {
        return Map.of(RealProgram.JAR_VARIABLE, jar.toString());
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
