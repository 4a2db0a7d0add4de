package granitefold.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One dispatcher's keeper: (state, event, now) to actions. It keeps one process serving, in the version that it was last ordered to, and
 * changes versions: the new process beside the old one, which ends once the new one serves, or one after the other where two cannot be.
 * A version that does not come up gives way to the one before it. Every order is carried out once, and none that is older than one seen.
 */
public final class Supervisor {
    /** A process that was told to end is killed after so long: the platform's longest deadline and 0.7 s, with room. */
    static final long END_US = 6_000_000;
    /** Waits before a process that ended by itself is started again: doubled each time, up to the second. */
    static final long AGAIN_US = 200_000, AGAIN_MOST_US = 5_000_000;
    /** One that has served for so long is well: the next wait is the shortest again. */
    static final long WELL_US = 10_000_000;

    /** Where a process stands. */
    private enum Phase { STARTING, SERVING, ENDING }

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

    /** How a keeper goes about it. {@code beside}: two processes may run at the same addresses; {@code readyTimeoutUs}: how long a start may take. */
    public record Options(boolean overlap, long readyTimeoutUs) { }

    private final Options ways;
    private Order seen;
    private Order done;
    private Order failed;
    private String why;
    private Version settled;
    private Version wanted;
    private int crashes;
    private long lives;
    /** Number of the process that served when the record was kept. */
    private final long previousServing;
    private Incarnation serving;
    private Incarnation coming;
    private final List<Incarnation> ending = new ArrayList<>();
    /** An order is in hand that is neither done nor failed. */
    private boolean inHand;
    private long startAt = Long.MAX_VALUE;
    private long wait = AGAIN_US;
    private final List<SupervisorAction> actions = new ArrayList<>();

    public Supervisor(Options ways, SupervisorRecord kept) {
        this.ways = ways;
        seen = kept.seen();
        done = kept.done();
        failed = kept.failed();
        why = kept.why();
        settled = kept.settled();
        wanted = kept.wanted();
        crashes = kept.crashes();
        lives = kept.lives();
        previousServing = kept.serving();
        inHand = seen.compareTo(done) > 0 && seen.compareTo(failed) > 0;
    }

    public SupervisorRecord record() {
        return new SupervisorRecord(seen, done, failed, why, settled, wanted, crashes, lives, serving == null ? 0 : serving.number);
    }

    /** Incarnation of the process that served when the record was kept, before {@link SupervisorEvent.Startup}; 0 for none. */
    public long previousServing() {
        return previousServing;
    }

    /** What is told of it; {@code sample}: figures of the process that serves, or null. */
    public SupervisorStatus status(Sample sample) {
        return new SupervisorStatus(seen, done, failed, why, serving == null ? "" : serving.version.label(), serving != null, crashes,
                serving == null ? null : sample);
    }

    /** Incarnation of the process that serves, or 0. */
    public long servingIncarnation() {
        return serving == null ? 0 : serving.number;
    }

    /** Incarnation of the process that is coming up, or 0. */
    public long startingIncarnation() {
        return coming == null ? 0 : coming.number;
    }

    /** Whether an order would be refused as older than one that was seen. */
    public boolean isStale(Order order) {
        return order.compareTo(seen) < 0;
    }

    /** Takes one event in; returns what it asks for, in order, in a list that stands until the next call. */
    public List<SupervisorAction> handle(SupervisorEvent event, long now) {
        actions.clear();
        if (event instanceof SupervisorEvent.Startup e) {
            begin(e.alive(), now);
        } else if (event instanceof SupervisorEvent.OrderReceived e) {
            ordered(e.order(), e.version(), now);
        } else if (event instanceof SupervisorEvent.Ready e) {
            serves(e.incarnation(), now);
        } else if (event instanceof SupervisorEvent.Exited e) {
            exited(e.incarnation(), e.how(), now);
        } else {
            tick(now);
        }
        return Collections.unmodifiableList(actions);
    }

    private void keep() {
        actions.add(new SupervisorAction.Persist(record()));
    }

    private void begin(boolean alive, long now) {
        if (alive) {
            serving = new Incarnation(previousServing, settled, now);
            serving.phase = Phase.SERVING;
            if (inHand) {
                change(now);
            }
        } else {
            start(inHand ? wanted : settled, now);
        }
    }

    private void start(Version version, long now) {
        startAt = Long.MAX_VALUE;
        coming = new Incarnation(++lives, version, now);
        // the number is kept before there is a process of it: no two lives have one
        keep();
        actions.add(new SupervisorAction.Start(coming.number, version));
    }

    private void ordered(Order order, Version version, long now) {
        if (order.compareTo(seen) <= 0) {
            return;
        }
        seen = order;
        wanted = version;
        inHand = true;
        keep();
        actions.add(new SupervisorAction.Log("order " + order + ": " + version.label()));
        if (coming != null) {
            // whatever was coming up is no longer wanted
            end(coming, true, now);
            coming = null;
        }
        change(now);
    }

    /** Begins to carry out the order in hand. */
    private void change(long now) {
        startAt = Long.MAX_VALUE;
        if (serving != null && !ways.overlap()) {
            end(serving, false, now);
            serving = null;
        }
        if (ways.overlap() || ending.isEmpty()) {
            start(wanted, now);
        }
    }

    private void end(Incarnation incarnation, boolean atOnce, long now) {
        incarnation.phase = Phase.ENDING;
        incarnation.since = now;
        incarnation.killed = atOnce;
        ending.add(incarnation);
        actions.add(atOnce ? new SupervisorAction.Kill(incarnation.number) : new SupervisorAction.Terminate(incarnation.number));
    }

    private void serves(long incarnation, long now) {
        if (coming == null || coming.number != incarnation) {
            return;
        }
        Incarnation before = serving;
        serving = coming;
        coming = null;
        serving.phase = Phase.SERVING;
        serving.since = now;
        if (inHand && serving.version.equals(wanted)) {
            settled = wanted;
            if (before == null) {
                finished();
            }
        }
        keep();
        if (before != null) {
            end(before, false, now);
        }
    }

    /** The order in hand is carried out. */
    private void finished() {
        inHand = false;
        done = seen;
        actions.add(new SupervisorAction.Log("order " + done + " is carried out: " + settled.label() + " serves"));
    }

    private void exited(long incarnation, String how, long now) {
        if (ending.removeIf(l -> l.number == incarnation)) {
            if (ending.isEmpty()) {
                if (coming == null && serving == null) {
                    start(inHand ? wanted : settled, now);
                } else if (inHand && serving != null && coming == null && serving.version.equals(wanted)) {
                    finished();
                    keep();
                }
            }
        } else if (coming != null && coming.number == incarnation) {
            coming = null;
            notComing(how, now);
        } else if (serving != null && serving.number == incarnation) {
            crashes++;
            wait = now - serving.since >= WELL_US ? AGAIN_US : Math.min(AGAIN_MOST_US, wait * 2);
            serving = null;
            keep();
            actions.add(new SupervisorAction.Log("the process that served ended by itself: " + how));
            if (coming == null) {
                startAt = now + wait;
            }
        }
    }

    /** A process did not come up. */
    private void notComing(String how, long now) {
        actions.add(new SupervisorAction.Log("a process did not come to serve: " + how));
        if (inHand) {
            inHand = false;
            failed = seen;
            why = how;
            wanted = settled;
            keep();
            if (serving == null && ending.isEmpty()) {
                start(settled, now);
            }
        } else if (serving == null) {
            wait = Math.min(AGAIN_MOST_US, wait * 2);
            startAt = now + wait;
        }
    }

    private void tick(long now) {
        if (coming != null && now - coming.since > ways.readyTimeoutUs()) {
            Incarnation late = coming;
            coming = null;
            end(late, true, now);
            notComing("it did not say that it serves within " + ways.readyTimeoutUs() / 1000 + " ms", now);
        }
        for (Incarnation l : ending) {
            if (!l.killed && now - l.since > END_US) {
                l.killed = true;
                actions.add(new SupervisorAction.Kill(l.number));
            }
        }
        if (startAt <= now && coming == null && serving == null && ending.isEmpty()) {
            start(inHand ? wanted : settled, now);
        }
    }
}
