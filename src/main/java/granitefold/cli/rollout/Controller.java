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
 * Plays a rollout to its end. It holds the plan's folder, so that there is no second one on this machine; one elsewhere is told apart by
 * the number of its orders. It may be killed at any moment: the next one goes on with what was kept.
 */
final class Controller implements Closeable {
    static final String PROGRESS = "progress", WISH = "wish", REPORT = "report.txt";
    private static final long ROUND_MS = 1000, ANSWERS_MS = 4000;

    private final PlanFile file;
    private final DirectoryStorage disk;
    private final ChecksummedFile<Progress> kept;
    private final Map<String, SupervisorClient> links = new HashMap<>();
    private final ExecutorService callers;
    private Rollout rollout;

    Controller(PlanFile file) throws IOException {
        this.file = file;
        disk = DirectoryStorage.open(file.folder());
        kept = new ChecksummedFile<>(disk, PROGRESS, Progress.class);
        file.keepers().forEach((name, address) -> links.put(name, new SupervisorClient(address)));
        AtomicInteger n = new AtomicInteger();
        callers = Executors.newFixedThreadPool(Math.max(1, links.size()), r -> {
            Thread t = new Thread(r, "rollout call " + n.incrementAndGet());
            t.setDaemon(true);
            return t;
        });
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** Plays it, and returns where it ended. */
    Progress run() throws IOException, InterruptedException {
        rollout = begin();
        take(new RolloutEvent.Startup());
        while (!over()) {
            long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ROUND_MS);
            statuses().forEach((name, status) -> take(new RolloutEvent.StatusReceived(name, status)));
            OperatorCommand wish = wish();
            if (wish != null) {
                take(new RolloutEvent.OperatorRequested(wish));
            }
            take(new RolloutEvent.Tick());
            report();
            long wait = next - System.nanoTime();
            if (wait > 0 && !over()) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
        }
        report();
        return rollout.progress();
    }

    /** It is over, and no operator's word is waiting. */
    private boolean over() {
        return rollout.progress().state().terminal() && !Files.exists(file.folder().resolve(WISH));
    }

    /** A rollout that goes on with what was kept, or a new one whose number is past all that any keeper has seen. */
    private Rollout begin() throws IOException, InterruptedException {
        Progress last;
        try {
            last = kept.read();
        } catch (ChecksummedFile.DamagedFileException e) {
            return unknown(e.getMessage());
        }
        if (last != null && last.plan().equals(file.plan().name()) && !last.state().terminal()) {
            return new Rollout(file.plan(), last);
        }
        boolean wished = Files.exists(file.folder().resolve(WISH));
        if (last != null && last.plan().equals(file.plan().name()) && wished) {
            // its end is not the last word: an operator has one more
            return new Rollout(file.plan(), last);
        }
        long number = last == null ? 1 : last.order().rollout() + 1;
        for (SupervisorStatus s : statuses().values()) {
            number = Math.max(number, s.seen().rollout() + 1);
        }
        return new Rollout(file.plan(), number);
    }

    /**
     * What was kept cannot be read. Nothing is changed before an operator says so; whoever is not known to run the old version counts as
     * one of the new, so that no version stays unnoticed.
     */
    private Rollout unknown(String why) throws IOException, InterruptedException {
        EventLog.log(LogEvent.ROLLOUT_PROBLEM, why);
        Order last = Order.NONE;
        List<String> fresh = new ArrayList<>(file.plan().dispatchers());
        for (Map.Entry<String, SupervisorStatus> e : statuses().entrySet()) {
            last = e.getValue().seen().compareTo(last) > 0 ? e.getValue().seen() : last;
            if (e.getValue().label().equals(file.plan().baseline().label())) {
                fresh.remove(e.getKey());
            }
        }
        Progress p = new Progress(file.plan().name(), State.HELD, new Order(Math.max(1, last.rollout()), last.step() + 1), 0, List.of(), fresh, List.of(),
                why + "; by what the keepers say " + fresh + " may run the new version", false, List.of("what was kept could not be read: " + why));
        kept.write(p);
        return new Rollout(file.plan(), p);
    }

    // ---------------------------------------------------------------- keepers
    private Map<String, SupervisorStatus> statuses() throws InterruptedException {
        Map<String, Future<SupervisorProtocol.Response>> asked = new HashMap<>();
        links.forEach((name, link) -> asked.put(name, callers.submit(link::status)));
        Map<String, SupervisorStatus> all = new HashMap<>();
        for (Map.Entry<String, Future<SupervisorProtocol.Response>> e : asked.entrySet()) {
            try {
                SupervisorProtocol.Response a = e.getValue().get(ANSWERS_MS, TimeUnit.MILLISECONDS);
                if (a.status() != null && e.getKey().equals(a.name())) {
                    all.put(e.getKey(), a.status());
                }
            } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException silent) {
                // who does not answer is told by what it does not do
            }
        }
        return all;
    }

    private void take(RolloutEvent event) {
        for (RolloutAction action : List.copyOf(rollout.handle(event, now()))) {
            if (action instanceof RolloutAction.Persist a) {
                try {
                    kept.write(a.progress());
                } catch (IOException e) {
                    // what is not kept must not be done: whoever comes back would not know of it
                    EventLog.log(LogEvent.ROLLOUT_PROBLEM, "cannot keep what it is about to do, and ends: " + e);
                    Runtime.getRuntime().halt(1);
                }
            } else if (action instanceof RolloutAction.Log a) {
                EventLog.log(LogEvent.ROLLOUT, a.what());
            } else if (action instanceof RolloutAction.SendOrder a) {
                give(a);
            }
        }
    }

    private void give(RolloutAction.SendOrder give) {
        try {
            SupervisorProtocol.Response a = links.get(give.dispatcher()).order(give.order(), give.version());
            if (a.refused() != null && a.status() != null) {
                EventLog.log(LogEvent.ROLLOUT_PROBLEM, give.dispatcher() + " refused order " + give.order() + ": " + a.refused());
                take(new RolloutEvent.OrderRefused(give.dispatcher(), a.status().seen()));
            }
        } catch (IOException e) {
            // it is given again; in the end the step is not done in time
            EventLog.log(LogEvent.ROLLOUT_PROBLEM, give.dispatcher() + " did not answer order " + give.order() + ": " + e.getMessage());
        }
    }

    // ---------------------------------------------------------------- operators
    private OperatorCommand wish() throws IOException {
        Path path = file.folder().resolve(WISH);
        if (!Files.exists(path)) {
            return null;
        }
        String word = Files.readString(path).strip();
        Files.delete(path);
        try {
            return OperatorCommand.valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            EventLog.log(LogEvent.ROLLOUT_PROBLEM, "no word of ours: " + word);
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
        callers.shutdownNow();
        disk.close();
    }
}
