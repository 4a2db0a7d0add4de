package granitefold;

import granitefold.benchlink.BenchLink;
import granitefold.net.Loop;
import granitefold.wire.BadWire;
import granitefold.wire.Config;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import sun.misc.Signal;

/** Entry point: {@code serve} is one real dispatcher, {@code benchlink} the decisions on the simulator's wire. */
public final class Main {
    /** After SIGTERM the process may be killed 3.7 s later. */
    private static final long TERMINATE_MS = 3_600;

    /** Enough to serve on: there is no discovery, and the one peer refuses. */
    private static final String REHEARSAL = """
            {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
             "known": {"index": 0, "snapshot": true, "endpoints": [
               {"name": "p", "address": "127.0.0.1:1", "status": "up"}]},
             "settings": {"classes": [{"name": "job", "effect": "retryable", "onTimeMs": 300, "deadlineMs": 1000}],
               "limits": {"attemptsCap": 2}, "tenants": []}}
            """;
    private static final String REHEARSED = """
            POST /job?sid=1 HTTP/1.1
            Host: rehearsal
            X-Txn: 1
            X-Remaining-Ms: 500
            X-Labels: slots=1
            Content-Length: 4
            Connection: close

            soup""".replace("\n", "\r\n");

    private Main() { }

    /** Starts what the one argument names; wrong usage and broken configuration end it with one line. */
    public static void main(String[] args) throws Exception {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve(System.getenv("LB_CONFIG"));
            case "benchlink" -> System.exit(BenchLink.run());
            case "load" -> load();
            default -> {
                System.err.println("usage: java -jar granitefold.jar serve | benchlink");
                System.exit(64);
            }
        }
    }

    private static void serve(String file) {
        try {
            if (file == null || file.isEmpty()) {
                throw new BadWire("LB_CONFIG names no file");
            }
            // before all else: unhandled, the signal ends the JVM
            CompletableFuture<Loop> started = new CompletableFuture<>();
            Signal.handle(new Signal("HUP"), signal -> started.thenAccept(loop -> loop.reload(Path.of(file))));
            Loop loop = new Loop(Config.read(Path.of(file)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> terminate(loop), "terminate"));
            loop.start();
            started.complete(loop);
        } catch (BadWire e) {
            fail("bad configuration: " + e.getMessage());
        } catch (Exception e) {
            fail("cannot start: " + e);
        }
    }

    /**
     * Loads the program's classes, serves for a moment on loopback, and ends. The build runs this once, so that the
     * JVM can write what that took to the archive that {@code serve} starts from: it is most of a start's time.
     */
    private static void load() throws Exception {
        loadClasses();
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(file, REHEARSAL);
        Loop loop = new Loop(Config.read(file));
        Files.delete(file);
        loop.start();
        try (Socket client = new Socket()) {
            client.connect(loop.address());
            client.getOutputStream().write(REHEARSED.getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        // not by terminate, which leaves no time to write the archive
        System.exit(0);
    }

    private static void loadClasses() throws IOException {
        Path jar = Path.of(System.getProperty("java.class.path"));
        try (JarFile file = new JarFile(jar.toFile())) {
            for (JarEntry entry : Collections.list(file.entries())) {
                String name = entry.getName().replace('/', '.');
                if (name.startsWith("granitefold.") && name.endsWith(".class")
                        || name.matches("org\\.eclipse\\.jetty\\.(io|http|util)\\.([a-z]+\\.)?[A-Z].*\\.class")) {
                    try {
                        Class.forName(name.substring(0, name.length() - ".class".length()), true,
                                Main.class.getClassLoader());
                    } catch (ReflectiveOperationException | LinkageError e) {
                        // a class for a library that we do not have
                    }
                }
            }
        }
    }

    private static void terminate(Loop loop) {
        try {
            loop.terminate(TERMINATE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // a planned end is a success: without this the status would tell of the signal
        Runtime.getRuntime().halt(0);
    }

    private static void fail(String line) {
        System.err.println("granitefold: " + line);
        Runtime.getRuntime().halt(2);
    }
}
