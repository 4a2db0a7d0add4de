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
 * Tracks the health of the workers that discovery marks as ready. Active checks follow HAProxy's rise and fall and Envoy's
 * health checker (jittered intervals, panic threshold); passive ejection follows Envoy's outlier detection (consecutive
 * failures, growing ejection time, maximum share of ejected workers).
 */
public final class WorkerHealthTracker {
    /** Health of a worker as probes and attempts show it. */
    public enum Health { UP, DOWN, EJECTED }

    /**
     * A change that the dispatch policy has to be notified of.
     *
     * @param usable whether the worker may get new jobs
     * @param recoveredAt when the worker recovered, or 0 if it did not; it is then treated as just started
     */
    public record Change(long worker, boolean usable, long recoveredAt, Health health, String reason) { }

    private static final class WorkerEntry {
        final long id;
        Health health = Health.UP;
        /** Whether the worker was last reported as usable. */
        boolean reportedUsable = true;
        /** Probes in a row whose result contradicts the current health. */
        int contradictingProbes;
        boolean probeInFlight;
        long nextProbeAt;
        /** Failed attempts in a row. */
        int consecutiveFailures;
        /** Number of ejections so far; the ejection time grows with it. */
        int ejections;
        long ejectedUntil;
        long healthSince;
        String reason = "";

        WorkerEntry(long id) {
            this.id = id;
        }
    }

    private final HealthSettings settings;
    private final SplittableRandom random;
    private final Map<Long, WorkerEntry> entries = new LinkedHashMap<>();
    private int probesInFlight;
    private boolean inPanicMode;

    public WorkerHealthTracker(HealthSettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    /** Replaces the list of ready workers. A worker that leaves the list and returns starts without history. */
    public List<Change> updateWorkers(Collection<Long> ready, long now) {
        Map<Long, WorkerEntry> previous = new HashMap<>(entries);
        entries.clear();
        for (long id : ready) {
            WorkerEntry e = previous.remove(id);
            if (e == null) {
                e = new WorkerEntry(id);
                // Spread the first probes too, because many dispatchers receive a new list at the same moment.
                e.nextProbeAt = now + (long) (random.nextDouble() * settings.intervalUs());
            }
            entries.put(id, e);
        }
        previous.values().forEach(e -> probesInFlight -= e.probeInFlight ? 1 : 0);
        return collectChanges(now);
    }

    /** Returns the workers to probe now; the caller reports each result to {@link #onProbeResult}. */
    public List<Long> takeDueProbes(long now) {
        List<Long> due = new ArrayList<>();
        if (settings.probesEnabled()) {
            for (WorkerEntry e : entries.values()) {
                if (!e.probeInFlight && e.nextProbeAt <= now && probesInFlight < settings.maxConcurrentProbes()) {
                    e.probeInFlight = true;
                    probesInFlight++;
                    due.add(e.id);
                }
            }
        }
        return due;
    }

    /** Returns the time of the next due probe or the next end of an ejection, whichever is first. */
    public long nextWakeUpAt(long now) {
        long wakeUpAt = Long.MAX_VALUE;
        for (WorkerEntry e : entries.values()) {
            if (settings.probesEnabled() && !e.probeInFlight && probesInFlight < settings.maxConcurrentProbes()) {
                wakeUpAt = Math.min(wakeUpAt, e.nextProbeAt);
            }
            if (e.health == Health.EJECTED) {
                wakeUpAt = Math.min(wakeUpAt, e.ejectedUntil);
            }
        }
        return wakeUpAt == Long.MAX_VALUE ? wakeUpAt : Math.max(now, wakeUpAt);
    }

    /** Records the result of a probe. */
    public List<Change> onProbeResult(long worker, boolean succeeded, String reason, long now) {
        WorkerEntry e = entries.get(worker);
        if (e == null || !e.probeInFlight) {
            return List.of();
        }
        e.probeInFlight = false;
        probesInFlight--;
        e.nextProbeAt = now + (long) (settings.intervalUs() * (1 + settings.jitter() * (2 * random.nextDouble() - 1)));
        boolean down = e.health == Health.DOWN;
        if (succeeded == down) {
            if (++e.contradictingProbes >= (down ? settings.rise() : settings.fall())) {
                setHealth(e, down ? Health.UP : Health.DOWN, down ? "probes answered" : reason, now);
            }
        } else {
            e.contradictingProbes = 0;
        }
        return collectChanges(now);
    }

    /** Records the outcome of a real attempt. A worker that refuses a job, or answers that it failed, is alive. */
    public List<Change> onAttemptOutcome(long worker, Outcome outcome, long now) {
        WorkerEntry e = entries.get(worker);
        if (e == null || settings.ejectAfterFailures() == 0 || outcome == Outcome.CANCELLED || outcome == Outcome.MOOT) {
            return List.of();
        }
        boolean failed = outcome == Outcome.UNREACHABLE || outcome == Outcome.BROKEN || outcome == Outcome.TIMED_OUT;
        e.consecutiveFailures = failed ? e.consecutiveFailures + 1 : 0;
        if (!failed && e.ejections > 0 && e.health == Health.UP && now - e.healthSince > settings.maxEjectUs()) {
            e.ejections = 0;
        }
        if (e.consecutiveFailures >= settings.ejectAfterFailures() && e.health == Health.UP && canEject()) {
            e.ejections++;
            e.ejectedUntil = now + Math.min(settings.maxEjectUs(), settings.ejectUs() * e.ejections);
            setHealth(e, Health.EJECTED, e.consecutiveFailures + " attempts in a row failed, the last " + outcome, now);
            e.consecutiveFailures = 0;
        }
        return collectChanges(now);
    }

    /** Ends the ejections whose time is over. */
    public List<Change> expireEjections(long now) {
        for (WorkerEntry e : entries.values()) {
            if (e.health == Health.EJECTED && e.ejectedUntil <= now) {
                setHealth(e, Health.UP, "its ejection is over", now);
            }
        }
        return collectChanges(now);
    }

    /** Whether so many ready workers look dead that health is ignored and all of them are used. */
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

    private boolean canEject() {
        int maxEjected = Math.max(1, (int) (settings.maxEjectedShare() * entries.size()));
        return entries.size() > 1 && count(Health.EJECTED) < maxEjected;
    }

    private static void setHealth(WorkerEntry e, Health health, String reason, long now) {
        e.health = health;
        e.contradictingProbes = 0;
        e.healthSince = now;
        e.reason = reason;
    }

    /** Returns the changes since the last report and marks them as reported. */
    private List<Change> collectChanges(long now) {
        inPanicMode = entries.size() > 0 && unhealthyCount() > settings.panicShare() * entries.size();
        List<Change> changes = new ArrayList<>();
        for (WorkerEntry e : entries.values()) {
            boolean usable = inPanicMode || e.health == Health.UP;
            if (usable != e.reportedUsable) {
                e.reportedUsable = usable;
                // A worker that is used only because of panic mode has not recovered.
                boolean recovered = usable && e.health == Health.UP && settings.slowStart();
                changes.add(new Change(e.id, usable, recovered ? now : 0, e.health, e.reason));
            }
        }
        return changes;
    }
}
