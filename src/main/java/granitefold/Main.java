package granitefold;

import granitefold.benchlink.BenchLink;
import granitefold.net.Loop;
import granitefold.wire.BadWire;
import granitefold.wire.Config;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import sun.misc.Signal;

/** Entry point: {@code serve} is one real dispatcher, {@code benchlink} the decisions on the simulator's wire. */
public final class Main {
    /** After SIGTERM the process may be killed 3.7 s later. */
    private static final long TERMINATE_MS = 3_600;

    private Main() { }

    /** Starts what the one argument names; wrong usage and broken configuration end it with one line. */
    public static void main(String[] args) throws Exception {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve(System.getenv("LB_CONFIG"));
            case "benchlink" -> System.exit(BenchLink.run());
            case "load" -> Rehearsal.run();
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
