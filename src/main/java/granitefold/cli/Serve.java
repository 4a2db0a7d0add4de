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

/** Runs one dispatcher until the process is terminated. */
public final class Serve {
    /** Exit status for an invalid configuration. */
    static final int BAD_CONFIGURATION = 2;

    private final Path config;
    private final Path operatorFile;
    private OperatorSettings operator = OperatorSettings.NONE;
    private EventLoop loop;
    private CheckEndpoints checks;
    private StateWriter stateWriter;

    private Serve(Path config, Path operatorFile) {
        this.config = config;
        this.operatorFile = operatorFile;
    }

    /** Starts the dispatcher; {@code operatorFile} may be null. On an invalid configuration, prints one line per problem and exits. */
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
        // installed first: without a handler the signal terminates the JVM
        CompletableFuture<Serve> started = new CompletableFuture<>();
        SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> started.thenAccept(Serve::reload));
        if (operatorFile != null) {
            operator = OperatorFile.read(operatorFile).settings();
            if (operator.log().json()) {
                JsonLines.configure();
            }
        }
        if (previousHandler == SignalHandler.SIG_IGN) {
            // the parent process ignores SIGHUP, as nohup does; the JVM keeps that, so a changed discovery address goes unnoticed
            EventLog.log(LogEvent.RELOAD_OFF);
        }
        Config platform = Config.read(config);
        loop = new EventLoop(platform, operator);
        if (operator.state() != null) {
            stateWriter = new StateWriter(operator.state().directory(), operator.state().generations(), platform.settingsIndexes(), loop::restore);
            loop.saveStateWith(stateWriter::submit);
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
        if (stateWriter != null) {
            stateWriter.start();
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
            if (stateWriter != null) {
                stateWriter.shutDown(leftUs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (checks != null) {
            checks.close();
        }
        // a graceful shutdown is a success; without this the exit status would report the signal
        Runtime.getRuntime().halt(0);
    }

    private static void fail(List<String> lines) {
        lines.forEach(line -> System.err.println("granitefold: " + line));
        Runtime.getRuntime().halt(BAD_CONFIGURATION);
    }
}
