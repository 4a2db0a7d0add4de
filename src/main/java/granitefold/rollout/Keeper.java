package granitefold.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One dispatcher's keeper: (state, event, now) to actions. It keeps one process serving, in the version that it was last ordered to, and
 * changes versions: the new process beside the old one, which ends once the new one serves, or one after the other where two cannot be.
 * A version that does not come up gives way to the one before it. Every order is carried out once, and none that is older than one seen.
 */
public final class Keeper {
    /** A process that was told to end is killed after so long: the platform's longest deadline and 0.7 s, with room. */
    static final long END_US = 6_000_000;
    /** Waits before a process that ended by itself is started again: doubled each time, up to the second. */
    static final long AGAIN_US = 200_000, AGAIN_MOST_US = 5_000_000;
    /** One that has served for so long is well: the next wait is the shortest again. */
    static final long WELL_US = 10_000_000;

    /** Where a process stands. */
    private enum Phase { STARTING, SERVING, ENDING }

    private static final class Life {
        final long number;
        final Version version;
        Phase phase = Phase.STARTING;
        long since;
        boolean killed;

        Life(long number, Version version, long now) {
            this.number = number;
            this.version = version;
            since = now;
        }
    }

    /** How a keeper goes about it. {@code beside}: two processes may run at the same addresses; {@code readyUs}: how long a start may take. */
    public record Ways(boolean beside, long readyUs) { }

    private final Ways ways;
    private Order seen;
    private Order done;
    private Order failed;
    private String why;
    private Version settled;
    private Version wanted;
    private int crashes;
    private long lives;
    /** Number of the process that served when the record was kept. */
    private final long servedBefore;
    private Life serving;
    private Life coming;
    private final List<Life> ending = new ArrayList<>();
    /** An order is in hand that is neither done nor failed. */
    private boolean inHand;
    private long startAt = Long.MAX_VALUE;
    private long wait = AGAIN_US;
    private final List<KeeperAction> actions = new ArrayList<>();

    public Keeper(Ways ways, KeeperRecord kept) {
        this.ways = ways;
        seen = kept.seen();
        done = kept.done();
        failed = kept.failed();
        why = kept.why();
        settled = kept.settled();
        wanted = kept.wanted();
        crashes = kept.crashes();
        lives = kept.lives();
        servedBefore = kept.serving();
        inHand = seen.compareTo(done) > 0 && seen.compareTo(failed) > 0;
    }

    public KeeperRecord record() {
        return new KeeperRecord(seen, done, failed, why, settled, wanted, crashes, lives, serving == null ? 0 : serving.number);
    }

    /** Life of the process that served when the record was kept, before {@link KeeperEvent.Begin}; 0 for none. */
    public long servedBefore() {
        return servedBefore;
    }

    /** What is told of it; {@code sample}: figures of the process that serves, or null. */
    public KeeperStatus status(Sample sample) {
        return new KeeperStatus(seen, done, failed, why, serving == null ? "" : serving.version.label(), serving != null, crashes,
                serving == null ? null : sample);
    }

    /** Life of the process that serves, or 0. */
    public long servingLife() {
        return serving == null ? 0 : serving.number;
    }

    /** Life of the process that is coming up, or 0. */
    public long comingLife() {
        return coming == null ? 0 : coming.number;
    }

    /** Whether an order would be refused as older than one that was seen. */
    public boolean stale(Order order) {
        return order.compareTo(seen) < 0;
    }

    /** Takes one event in; returns what it asks for, in order, in a list that stands until the next call. */
    public List<KeeperAction> on(KeeperEvent event, long now) {
        actions.clear();
        if (event instanceof KeeperEvent.Begin e) {
            begin(e.alive(), now);
        } else if (event instanceof KeeperEvent.Ordered e) {
            ordered(e.order(), e.version(), now);
        } else if (event instanceof KeeperEvent.Serves e) {
            serves(e.life(), now);
        } else if (event instanceof KeeperEvent.Exited e) {
            exited(e.life(), e.how(), now);
        } else {
            tick(now);
        }
        return Collections.unmodifiableList(actions);
    }

    private void keep() {
        actions.add(new KeeperAction.Keep(record()));
    }

    private void begin(boolean alive, long now) {
        if (alive) {
            serving = new Life(servedBefore, settled, now);
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
        coming = new Life(++lives, version, now);
        // the number is kept before there is a process of it: no two lives have one
        keep();
        actions.add(new KeeperAction.Start(coming.number, version));
    }

    private void ordered(Order order, Version version, long now) {
        if (order.compareTo(seen) <= 0) {
            return;
        }
        seen = order;
        wanted = version;
        inHand = true;
        keep();
        actions.add(new KeeperAction.Say("order " + order + ": " + version.label()));
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
        if (serving != null && !ways.beside()) {
            end(serving, false, now);
            serving = null;
        }
        if (ways.beside() || ending.isEmpty()) {
            start(wanted, now);
        }
    }

    private void end(Life life, boolean atOnce, long now) {
        life.phase = Phase.ENDING;
        life.since = now;
        life.killed = atOnce;
        ending.add(life);
        actions.add(atOnce ? new KeeperAction.Kill(life.number) : new KeeperAction.End(life.number));
    }

    private void serves(long life, long now) {
        if (coming == null || coming.number != life) {
            return;
        }
        Life before = serving;
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
        actions.add(new KeeperAction.Say("order " + done + " is carried out: " + settled.label() + " serves"));
    }

    private void exited(long life, String how, long now) {
        if (ending.removeIf(l -> l.number == life)) {
            if (ending.isEmpty()) {
                if (coming == null && serving == null) {
                    start(inHand ? wanted : settled, now);
                } else if (inHand && serving != null && coming == null && serving.version.equals(wanted)) {
                    finished();
                    keep();
                }
            }
        } else if (coming != null && coming.number == life) {
            coming = null;
            notComing(how, now);
        } else if (serving != null && serving.number == life) {
            crashes++;
            wait = now - serving.since >= WELL_US ? AGAIN_US : Math.min(AGAIN_MOST_US, wait * 2);
            serving = null;
            keep();
            actions.add(new KeeperAction.Say("the process that served ended by itself: " + how));
            if (coming == null) {
                startAt = now + wait;
            }
        }
    }

    /** A process did not come up. */
    private void notComing(String how, long now) {
        actions.add(new KeeperAction.Say("a process did not come to serve: " + how));
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
        if (coming != null && now - coming.since > ways.readyUs()) {
            Life late = coming;
            coming = null;
            end(late, true, now);
            notComing("it did not say that it serves within " + ways.readyUs() / 1000 + " ms", now);
        }
        for (Life l : ending) {
            if (!l.killed && now - l.since > END_US) {
                l.killed = true;
                actions.add(new KeeperAction.Kill(l.number));
            }
        }
        if (startAt <= now && coming == null && serving == null && ending.isEmpty()) {
            start(inHand ? wanted : settled, now);
        }
    }
}
