package granitefold.health;

import granitefold.Dispatcher.Outcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The workers that discovery calls ready, and what is known of each. Active checks after HAProxy's rise and fall and
 * Envoy's health checker (jittered intervals, panic threshold); passive ejection after Envoy's outlier detection
 * (consecutive failures, growing ejection time, most share ejected).
 */
public final class WorkerHealthTracker {
    /** How a worker looks. */
    public enum Health { UP, DOWN, EJECTED }

    /** A change of what the module is to be told of a worker; {@code since}: when it came back, 0 if it did not. */
    public record Change(long worker, boolean usable, long recoveredAt, Health health, String reason) { }

    private static final class Entry {
        final long id;
        Health health = Health.UP;
        /** What the module was told last. */
        boolean usable = true;
        /** Probes in a row that spoke against the present health. */
        int against;
        boolean probing;
        long probeAt;
        /** Attempts in a row that failed, ejections so far, and until when the present one lasts. */
        int failures;
        int ejections;
        long ejectedUntil;
        long since;
        String reason = "";

        Entry(long id) {
            this.id = id;
        }
    }

    private final HealthSettings set;
    private final SplittableRandom random;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private int probing;
    private boolean inPanicMode;

    public WorkerHealthTracker(HealthSettings set, long seed) {
        this.set = set;
        random = new SplittableRandom(seed);
    }

    /** Discovery's list of ready workers, whole. One that left and comes again starts anew. */
    public List<Change> updateWorkers(Collection<Long> ready, long now) {
        Map<Long, Entry> old = new HashMap<>(entries);
        entries.clear();
        for (long id : ready) {
            Entry e = old.remove(id);
            if (e == null) {
                e = new Entry(id);
                // the first probes are spread too: many dispatchers hear of a list at the same moment
                e.probeAt = now + (long) (random.nextDouble() * set.intervalUs());
            }
            entries.put(id, e);
        }
        old.values().forEach(e -> probing -= e.probing ? 1 : 0);
        return changes(now);
    }

    /** Workers to be probed now; each is answered for by {@link #onProbeResult}. */
    public List<Long> takeDueProbes(long now) {
        List<Long> due = new ArrayList<>();
        if (set.probesEnabled()) {
            for (Entry e : entries.values()) {
                if (!e.probing && e.probeAt <= now && probing < set.maxConcurrentProbes()) {
                    e.probing = true;
                    probing++;
                    due.add(e.id);
                }
            }
        }
        return due;
    }

    /** When to look again: a probe falls due, or an ejection ends. */
    public long nextWakeUpAt(long now) {
        long at = Long.MAX_VALUE;
        for (Entry e : entries.values()) {
            if (set.probesEnabled() && !e.probing && probing < set.maxConcurrentProbes()) {
                at = Math.min(at, e.probeAt);
            }
            if (e.health == Health.EJECTED) {
                at = Math.min(at, e.ejectedUntil);
            }
        }
        return at == Long.MAX_VALUE ? at : Math.max(now, at);
    }

    /** A probe has come to its end. */
    public List<Change> onProbeResult(long worker, boolean well, String reason, long now) {
        Entry e = entries.get(worker);
        if (e == null || !e.probing) {
            return List.of();
        }
        e.probing = false;
        probing--;
        e.probeAt = now + (long) (set.intervalUs() * (1 + set.jitter() * (2 * random.nextDouble() - 1)));
        boolean down = e.health == Health.DOWN;
        if (well == down) {
            if (++e.against >= (down ? set.rise() : set.fall())) {
                turn(e, down ? Health.UP : Health.DOWN, down ? "probes answered" : reason, now);
            }
        } else {
            e.against = 0;
        }
        return changes(now);
    }

    /** A real attempt has come to its end. What a worker turned away or failed by itself shows that it is there. */
    public List<Change> onAttemptOutcome(long worker, Outcome outcome, long now) {
        Entry e = entries.get(worker);
        if (e == null || set.ejectAfterFailures() == 0 || outcome == Outcome.CANCELLED || outcome == Outcome.MOOT) {
            return List.of();
        }
        boolean failed = outcome == Outcome.UNREACHABLE || outcome == Outcome.BROKEN || outcome == Outcome.TIMED_OUT;
        e.failures = failed ? e.failures + 1 : 0;
        if (!failed && e.ejections > 0 && e.health == Health.UP && now - e.since > set.maxEjectUs()) {
            e.ejections = 0;
        }
        if (e.failures >= set.ejectAfterFailures() && e.health == Health.UP && mayEject()) {
            e.ejections++;
            e.ejectedUntil = now + Math.min(set.maxEjectUs(), set.ejectUs() * e.ejections);
            turn(e, Health.EJECTED, e.failures + " attempts in a row failed, the last " + outcome, now);
            e.failures = 0;
        }
        return changes(now);
    }

    /** Time has passed. */
    public List<Change> expireEjections(long now) {
        for (Entry e : entries.values()) {
            if (e.health == Health.EJECTED && e.ejectedUntil <= now) {
                turn(e, Health.UP, "its ejection is over", now);
            }
        }
        return changes(now);
    }

    /** So many ready workers look dead that none is taken to be. */
    public boolean inPanicMode() {
        return inPanicMode;
    }

    public int workerCount() {
        return entries.size();
    }

    public int unhealthyCount() {
        return count(Health.DOWN) + count(Health.EJECTED);
    }

    private int count(Health health) {
        return (int) entries.values().stream().filter(e -> e.health == health).count();
    }

    private boolean mayEject() {
        int most = Math.max(1, (int) (set.maxEjectedShare() * entries.size()));
        return entries.size() > 1 && count(Health.EJECTED) < most;
    }

    private static void turn(Entry e, Health to, String reason, long now) {
        e.health = to;
        e.against = 0;
        e.since = now;
        e.reason = reason;
    }

    /** What the module is to be told now and was not yet. */
    private List<Change> changes(long now) {
        inPanicMode = entries.size() > 0 && unhealthyCount() > set.panicShare() * entries.size();
        List<Change> changes = new ArrayList<>();
        for (Entry e : entries.values()) {
            boolean usable = inPanicMode || e.health == Health.UP;
            if (usable != e.usable) {
                e.usable = usable;
                // one that is used only in a panic did not come back
                boolean back = usable && e.health == Health.UP && set.slowStart();
                changes.add(new Change(e.id, usable, back ? now : 0, e.health, e.reason));
            }
        }
        return changes;
    }
}
