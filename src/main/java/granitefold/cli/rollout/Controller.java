package granitefold.cli.rollout;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.rollout.SupervisorStatus;
import granitefold.rollout.Order;
import granitefold.rollout.Progress;
import granitefold.rollout.Progress.State;
import granitefold.rollout.Rollout;
import granitefold.rollout.RolloutAction;
import granitefold.rollout.RolloutEvent;
import granitefold.rollout.RolloutEvent.OperatorCommand;
import granitefold.state.DirectoryStorage;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs a rollout to its end. It locks the plan's folder, so that no second controller runs on this machine; a controller on another
 * machine is fenced by the numbers of its orders. It may be killed at any time: the next one continues from the saved progress.
 */
final class Controller implements Closeable {
    static final String PROGRESS = "progress", COMMAND_FILE = "wish", REPORT = "report.txt";
    private static final long POLL_INTERVAL_MS = 1000, STATUS_TIMEOUT_MS = 4000;

    private final PlanFile file;
    private final DirectoryStorage disk;
    private final ChecksummedFile<Progress> savedProgress;
    private final Map<String, SupervisorClient> supervisors = new HashMap<>();
    private final ExecutorService executor;
    private Rollout rollout;

    Controller(PlanFile file) throws IOException {
        this.file = file;
        disk = DirectoryStorage.open(file.folder());
        savedProgress = new ChecksummedFile<>(disk, PROGRESS, Progress.class);
        file.supervisors().forEach((name, address) -> supervisors.put(name, new SupervisorClient(address)));
        AtomicInteger threadNumber = new AtomicInteger();
        executor = Executors.newFixedThreadPool(Math.max(1, supervisors.size()), r -> {
            Thread thread = new Thread(r, "rollout call " + threadNumber.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** Runs the rollout and returns its final progress. */
    Progress run() throws IOException, InterruptedException {
        rollout = loadOrCreate();
        handleEvent(new RolloutEvent.Startup());
        while (!finished()) {
            long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS);
            statuses().forEach((name, status) -> handleEvent(new RolloutEvent.StatusReceived(name, status)));
            OperatorCommand command = operatorCommand();
            if (command != null) {
                handleEvent(new RolloutEvent.OperatorRequested(command));
            }
            handleEvent(new RolloutEvent.Tick());
            report();
            long wait = next - System.nanoTime();
            if (wait > 0 && !finished()) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
        }
        report();
        return rollout.progress();
    }

    /** Returns whether the rollout has ended and no operator command is pending. */
    private boolean finished() {
        return rollout.progress().state().terminal() && !Files.exists(file.folder().resolve(COMMAND_FILE));
    }

    /** Returns a rollout that continues from saved progress, or a new one with a number above all that any supervisor has seen. */
    private Rollout loadOrCreate() throws IOException, InterruptedException {
        Progress last;
        try {
            last = savedProgress.read();
        } catch (ChecksummedFile.DamagedFileException e) {
            return held(e.getMessage());
        }
        if (last != null && last.plan().equals(file.plan().name()) && !last.state().terminal()) {
            return new Rollout(file.plan(), last);
        }
        boolean commandPending = Files.exists(file.folder().resolve(COMMAND_FILE));
        if (last != null && last.plan().equals(file.plan().name()) && commandPending) {
            // an operator command can reopen a rollout that has ended
            return new Rollout(file.plan(), last);
        }
        long number = last == null ? 1 : last.order().rollout() + 1;
        for (SupervisorStatus s : statuses().values()) {
            number = Math.max(number, s.seen().rollout() + 1);
        }
        return new Rollout(file.plan(), number);
    }

    /**
     * Returns a held rollout for saved progress that cannot be read. Nothing changes until an operator decides. Every dispatcher that does not
     * report the old version is assumed to run the new one, so that a rollback includes it.
     */
    private Rollout held(String why) throws IOException, InterruptedException {
        EventLog.log(LogEvent.ROLLOUT_PROBLEM, why);
        Order last = Order.NONE;
        List<String> candidates = new ArrayList<>(file.plan().dispatchers());
        for (Map.Entry<String, SupervisorStatus> e : statuses().entrySet()) {
            last = e.getValue().seen().compareTo(last) > 0 ? e.getValue().seen() : last;
            if (e.getValue().label().equals(file.plan().baseline().label())) {
                candidates.remove(e.getKey());
            }
        }
        Progress p = new Progress(file.plan().name(), State.HELD, new Order(Math.max(1, last.rollout()), last.step() + 1), 0, List.of(), candidates,
                List.of(), why + "; according to the keepers, " + candidates + " may run the new version", false,
                List.of("the saved progress cannot be read: " + why));
        savedProgress.write(p);
        return new Rollout(file.plan(), p);
    }

    // ---------------------------------------------------------------- supervisors
    private Map<String, SupervisorStatus> statuses() throws InterruptedException {
        Map<String, Future<SupervisorProtocol.Response>> pending = new HashMap<>();
        supervisors.forEach((name, supervisor) -> pending.put(name, executor.submit(supervisor::status)));
        Map<String, SupervisorStatus> all = new HashMap<>();
        for (Map.Entry<String, Future<SupervisorProtocol.Response>> e : pending.entrySet()) {
            try {
                SupervisorProtocol.Response a = e.getValue().get(STATUS_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                if (a.status() != null && e.getKey().equals(a.name())) {
                    all.put(e.getKey(), a.status());
                }
            } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException unreachable) {
                // an unreachable supervisor shows up as a missing status
            }
        }
        return all;
    }

    private void handleEvent(RolloutEvent event) {
        for (RolloutAction action : List.copyOf(rollout.handle(event, now()))) {
            if (action instanceof RolloutAction.Persist a) {
                try {
                    savedProgress.write(a.progress());
                } catch (IOException e) {
                    // an action without saved progress must not be performed: it would be unknown after a restart
                    EventLog.log(LogEvent.ROLLOUT_PROBLEM, "cannot save the progress, exiting: " + e);
                    Runtime.getRuntime().halt(1);
                }
            } else if (action instanceof RolloutAction.Log a) {
                EventLog.log(LogEvent.ROLLOUT, a.message());
            } else if (action instanceof RolloutAction.SendOrder a) {
                sendOrder(a);
            }
        }
    }

    private void sendOrder(RolloutAction.SendOrder action) {
        try {
            SupervisorProtocol.Response a = supervisors.get(action.dispatcher()).order(action.order(), action.version());
            if (a.refused() != null && a.status() != null) {
                EventLog.log(LogEvent.ROLLOUT_PROBLEM, action.dispatcher() + " refused order " + action.order() + ": " + a.refused());
                handleEvent(new RolloutEvent.OrderRefused(action.dispatcher(), a.status().seen()));
            }
        } catch (IOException e) {
            // the order is sent again until the step times out
            EventLog.log(LogEvent.ROLLOUT_PROBLEM, action.dispatcher() + " did not answer order " + action.order() + ": " + e.getMessage());
        }
    }

    // ---------------------------------------------------------------- operators
    private OperatorCommand operatorCommand() throws IOException {
        Path path = file.folder().resolve(COMMAND_FILE);
        if (!Files.exists(path)) {
            return null;
        }
        String text = Files.readString(path).strip();
        Files.delete(path);
        try {
            return OperatorCommand.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            EventLog.log(LogEvent.ROLLOUT_PROBLEM, "unknown operator command: " + text);
            return null;
        }
    }

    private void report() throws IOException {
        Path next = file.folder().resolve(REPORT + ".new");
        Files.writeString(next, RolloutReport.text(file.plan(), rollout));
        Files.move(next, file.folder().resolve(REPORT), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        disk.close();
    }
}
