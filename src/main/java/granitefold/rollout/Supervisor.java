package granitefold.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * State machine of the supervisor ("keeper") of one dispatcher: (state, event, now) to actions. It keeps one process serving in the
 * version of the latest order and restarts it after a crash. A new version is started next to the old process, which is terminated once
 * the new one serves; where two processes cannot run at the same addresses, it is started after the old one has exited. If a version
 * does not start, the previous one keeps serving or is started again. Each order is executed once; an order older than the latest one
 * seen is ignored.
 */
public final class Supervisor {
    /** A terminated process is killed after this time: the platform's longest deadline plus 0.7 s, with a margin. */
    static final long TERMINATION_TIMEOUT_US = 6_000_000;
    /** Shortest and longest delay before a crashed process is restarted; the delay doubles with each crash. */
    static final long RESTART_DELAY_US = 200_000, MAX_RESTART_DELAY_US = 5_000_000;
    /** A process that has served for this time resets the restart delay. */
    static final long STABLE_AFTER_US = 10_000_000;

    /** Lifecycle of a process. */
    private enum Phase { STARTING, SERVING, TERMINATING }

    private static final class Incarnation {
        final long number;
        final Version version;
        Phase phase = Phase.STARTING;
        long since;
        boolean killed;

        Incarnation(long number, Version version, long now) {
            this.number = number;
            this.version = version;
            since = now;
        }
    }

    /** {@code overlap}: two processes may run at the same addresses; {@code readyTimeoutUs}: time limit for a process to become ready. */
    public record Options(boolean overlap, long readyTimeoutUs) { }

    private final Options options;
    private Order seen;
    private Order done;
    private Order failed;
    private String why;
    private Version settled;
    private Version wanted;
    private int crashes;
    /** Number of processes started so far; the latest one's number. */
    private long lives;
    /** Number of the process that served when the record was saved; 0 for none. */
    private final long previousServing;
    private Incarnation serving;
    private Incarnation starting;
    private final List<Incarnation> terminating = new ArrayList<>();
    /** The latest order is neither done nor failed. */
    private boolean orderPending;
    private long restartAt = Long.MAX_VALUE;
    private long restartDelay = RESTART_DELAY_US;
    private final List<SupervisorAction> actions = new ArrayList<>();

    public Supervisor(Options options, SupervisorRecord saved) {
        this.options = options;
        seen = saved.seen();
        done = saved.done();
        failed = saved.failed();
        why = saved.why();
        settled = saved.settled();
        wanted = saved.wanted();
        crashes = saved.crashes();
        lives = saved.lives();
        previousServing = saved.serving();
        orderPending = seen.compareTo(done) > 0 && seen.compareTo(failed) > 0;
    }

    public SupervisorRecord record() {
        return new SupervisorRecord(seen, done, failed, why, settled, wanted, crashes, lives, serving == null ? 0 : serving.number);
    }

    /** Number of the process that served when the record was saved, or 0. */
    public long previousServing() {
        return previousServing;
    }

    /** Returns the status that is reported to controllers; {@code sample}: metrics of the serving process, or null. */
    public SupervisorStatus status(Sample sample) {
        return new SupervisorStatus(seen, done, failed, why, serving == null ? "" : serving.version.label(), serving != null, crashes,
                serving == null ? null : sample);
    }

    /** Returns the number of the serving process, or 0. */
    public long servingIncarnation() {
        return serving == null ? 0 : serving.number;
    }

    /** Returns the number of the process that is starting, or 0. */
    public long startingIncarnation() {
        return starting == null ? 0 : starting.number;
    }

    /** Returns whether an order is older than the latest one seen. */
    public boolean isStale(Order order) {
        return order.compareTo(seen) < 0;
    }

    /** Handles one event. Returns the actions in the order to perform them, in a list that is valid until the next call. */
    public List<SupervisorAction> handle(SupervisorEvent event, long now) {
        actions.clear();
        if (event instanceof SupervisorEvent.Startup e) {
            startup(e.alive(), now);
        } else if (event instanceof SupervisorEvent.OrderReceived e) {
            orderReceived(e.order(), e.version(), now);
        } else if (event instanceof SupervisorEvent.Ready e) {
            ready(e.incarnation(), now);
        } else if (event instanceof SupervisorEvent.Exited e) {
            exited(e.incarnation(), e.reason(), now);
        } else {
            tick(now);
        }
        return Collections.unmodifiableList(actions);
    }

    private void persist() {
        actions.add(new SupervisorAction.Persist(record()));
    }

    private void startup(boolean alive, long now) {
        if (alive) {
            serving = new Incarnation(previousServing, settled, now);
            serving.phase = Phase.SERVING;
            if (orderPending) {
                executeOrder(now);
            }
        } else {
            start(orderPending ? wanted : settled, now);
        }
    }

    private void start(Version version, long now) {
        restartAt = Long.MAX_VALUE;
        starting = new Incarnation(++lives, version, now);
        // the number is saved before the process exists, so that no two processes get the same number
        persist();
        actions.add(new SupervisorAction.Start(starting.number, version));
    }

    private void orderReceived(Order order, Version version, long now) {
        if (order.compareTo(seen) <= 0) {
            return;
        }
        seen = order;
        wanted = version;
        orderPending = true;
        persist();
        actions.add(new SupervisorAction.Log("order " + order + ": " + version.label()));
        if (starting != null) {
            // a process that is still starting belongs to an earlier order
            terminate(starting, true, now);
            starting = null;
        }
        executeOrder(now);
    }

    /** Starts to execute the pending order. */
    private void executeOrder(long now) {
        restartAt = Long.MAX_VALUE;
        if (serving != null && !options.overlap()) {
            terminate(serving, false, now);
            serving = null;
        }
        if (options.overlap() || terminating.isEmpty()) {
            start(wanted, now);
        }
    }

    private void terminate(Incarnation incarnation, boolean immediately, long now) {
        incarnation.phase = Phase.TERMINATING;
        incarnation.since = now;
        incarnation.killed = immediately;
        terminating.add(incarnation);
        actions.add(immediately ? new SupervisorAction.Kill(incarnation.number) : new SupervisorAction.Terminate(incarnation.number));
    }

    private void ready(long incarnation, long now) {
        if (starting == null || starting.number != incarnation) {
            return;
        }
        Incarnation previous = serving;
        serving = starting;
        starting = null;
        serving.phase = Phase.SERVING;
        serving.since = now;
        if (orderPending && serving.version.equals(wanted)) {
            settled = wanted;
            if (previous == null) {
                orderDone();
            }
        }
        persist();
        if (previous != null) {
            terminate(previous, false, now);
        }
    }

    /** Marks the pending order as done. */
    private void orderDone() {
        orderPending = false;
        done = seen;
        actions.add(new SupervisorAction.Log("order " + done + " is done: " + settled.label() + " serves"));
    }

    private void exited(long incarnation, String reason, long now) {
        if (terminating.removeIf(process -> process.number == incarnation)) {
            if (terminating.isEmpty()) {
                if (starting == null && serving == null) {
                    start(orderPending ? wanted : settled, now);
                } else if (orderPending && serving != null && starting == null && serving.version.equals(wanted)) {
                    orderDone();
                    persist();
                }
            }
        } else if (starting != null && starting.number == incarnation) {
            starting = null;
            startFailed(reason, now);
        } else if (serving != null && serving.number == incarnation) {
            crashes++;
            restartDelay = now - serving.since >= STABLE_AFTER_US ? RESTART_DELAY_US : Math.min(MAX_RESTART_DELAY_US, restartDelay * 2);
            serving = null;
            persist();
            actions.add(new SupervisorAction.Log("the serving process exited unexpectedly: " + reason));
            if (starting == null) {
                restartAt = now + restartDelay;
            }
        }
    }

    /** Handles a process that did not become ready: fails the pending order and returns to the previous version, or retries later. */
    private void startFailed(String reason, long now) {
        actions.add(new SupervisorAction.Log("a process did not become ready: " + reason));
        if (orderPending) {
            orderPending = false;
            failed = seen;
            why = reason;
            wanted = settled;
            persist();
            if (serving == null && terminating.isEmpty()) {
                start(settled, now);
            }
        } else if (serving == null) {
            restartDelay = Math.min(MAX_RESTART_DELAY_US, restartDelay * 2);
            restartAt = now + restartDelay;
        }
    }

    private void tick(long now) {
        if (starting != null && now - starting.since > options.readyTimeoutUs()) {
            Incarnation timedOut = starting;
            starting = null;
            terminate(timedOut, true, now);
            startFailed("not ready within " + options.readyTimeoutUs() / 1000 + " ms", now);
        }
        for (Incarnation process : terminating) {
            if (!process.killed && now - process.since > TERMINATION_TIMEOUT_US) {
                process.killed = true;
                actions.add(new SupervisorAction.Kill(process.number));
            }
        }
        if (restartAt <= now && starting == null && serving == null && terminating.isEmpty()) {
            start(orderPending ? wanted : settled, now);
        }
    }
}
