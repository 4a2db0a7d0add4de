package granitefold.cli;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.net.EventLoop;
import granitefold.net.checks.CheckEndpoints;
import granitefold.net.checks.OpsEndpoint;
import granitefold.operator.OperatorSettings;
import granitefold.operator.InvalidFileException;
import granitefold.operator.OperatorFile;
import granitefold.state.StateWriter;
import granitefold.wire.Config;
import granitefold.wire.InvalidInputException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs one real dispatcher until it is told to end. */
public final class Serve {
    /** Status of a broken configuration. */
    static final int BAD_CONFIGURATION = 2;

    private final Path config;
    private final Path operatorFile;
    private OperatorSettings operator = OperatorSettings.NONE;
    private EventLoop loop;
    private CheckEndpoints checks;
    private StateWriter keeper;

    private Serve(Path config, Path operatorFile) {
        this.config = config;
        this.operatorFile = operatorFile;
    }

    /** Starts; {@code operatorFile} may be null. What is broken ends the process with one line a problem. */
    public static void run(String config, String operatorFile) {
        try {
            if (config == null || config.isEmpty()) {
                throw new InvalidInputException("LB_CONFIG names no file");
            }
            new Serve(Path.of(config), operatorFile == null ? null : Path.of(operatorFile)).start();
        } catch (InvalidInputException e) {
            fail(List.of("bad configuration: " + e.getMessage()));
        } catch (Exception e) {
            if (operatorFile != null && e instanceof InvalidFileException broken) {
                fail(broken.problems());
            }
            fail(List.of("cannot start: " + e));
        }
    }

    private void start() throws Exception {
        // before all else: unhandled, the signal ends the JVM
        CompletableFuture<Serve> started = new CompletableFuture<>();
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> started.thenAccept(Serve::reload));
        if (operatorFile != null) {
            operator = OperatorFile.read(operatorFile).settings();
            if (operator.log().json()) {
                JsonLines.begin();
            }
        }
        if (before == SignalHandler.SIG_IGN) {
            // whoever started us had it ignored, as nohup has; the JVM leaves it so, and a move of discovery would go unnoticed
            EventLog.log(LogEvent.RELOAD_OFF);
        }
        Config platform = Config.read(config);
        loop = new EventLoop(platform, operator);
        if (operator.state() != null) {
            keeper = new StateWriter(operator.state().directory(), operator.state().generations(), platform.settingsIndexes(), loop::restore);
            loop.saveStateWith(keeper::submit);
        }
        if (platform.ops() != null) {
            new OpsEndpoint(platform.ops(), loop, platform.namedSettings().classNames()).start();
        }
        if (operator.hasCheckListener()) {
            checks = new CheckEndpoints(loop.name(), loop, operator);
            checks.start();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
        loop.start();
        if (keeper != null) {
            keeper.start();
        }
        started.complete(this);
    }

    private synchronized void reload() {
        loop.reload(config);
        if (operatorFile == null) {
            return;
        }
        try {
            OperatorSettings next = OperatorFile.read(operatorFile).settings();
            EventLog.log(LogEvent.OPERATOR_READ, operatorFile);
            for (String key : OperatorFile.keysNeedingRestart(operator, next)) {
                EventLog.log(LogEvent.OPERATOR_RESTART, key);
            }
            if (checks != null) {
                checks.reload(next);
            }
            if (operator.publishesAvailability()) {
                loop.updateAvailabilitySettings(next.availability());
            }
        } catch (InvalidFileException e) {
            EventLog.log(LogEvent.OPERATOR_KEPT, e.getMessage());
        }
    }

    private void terminate() {
        try {
            long leftUs = loop.terminate();
            if (keeper != null) {
                keeper.shutDown(leftUs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (checks != null) {
            checks.close();
        }
        // a planned end is a success: without this the status would tell of the signal
        Runtime.getRuntime().halt(0);
    }

    private static void fail(List<String> lines) {
        lines.forEach(line -> System.err.println("granitefold: " + line));
        Runtime.getRuntime().halt(BAD_CONFIGURATION);
    }
}
