package granitefold.recovery;

import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ages a learned state by the time since it was saved and adapts it to a worker list that may have changed. It errs on
 * the safe side: values that are too old or come from the future are dropped, and so are the kept keys of a worker
 * restarted since. Values that guard a rule (work sent to workers in slow start, keys that may have run) are kept for their whole
 * validity. The counts of buckets only grow and are always kept; the dispatch policy refills the buckets' credit for the
 * time in between, up to their capacity.
 */
public final class LearnedStateAging {
    /** A saved state may be this far in the future and still be used, because clocks are adjusted. */
    static final long MAX_CLOCK_SKEW_US = 2_000_000;

    private final LearnedStateAgingSettings settings;

    /** An aged state; {@code dropReasons} tells what was dropped and why, with one line for each kind of reason. */
    public record Result(LearnedState state, List<String> dropReasons) { }

    public LearnedStateAging(LearnedStateAgingSettings settings) {
        this.settings = settings;
    }

    /** Returns what is still valid at {@code now} with the present list of workers. */
    public Result apply(LearnedState old, List<Worker> listedWorkers, long now) {
        List<String> reasons = new ArrayList<>();
        long ageUs = now - old.at();
        if (ageUs < -MAX_CLOCK_SKEW_US) {
            // The clock was set back, so the age is unknown. Keys and slow-start work stay valid as if saved just now.
            reasons.add("written " + -ageUs / 1_000_000 + " s in the future: only keys and work sent to workers in slow start are kept");
            return new Result(new LearnedState(now, 0, 0, 0, 0, List.of(), slowStartWorkers(old, now), List.of(),
                    keys(old, old.at(), now)), reasons);
        }
        ageUs = Math.max(0, ageUs);
        boolean fetchIsRecent = isRecent(ageUs, settings.fetchTimeUs());
        if (!fetchIsRecent) {
            reasons.add("fetch time and mean work: " + ageUs / 1_000_000 + " s old");
        }
        return new Result(new LearnedState(now, fetchIsRecent ? old.fetchUs() : 0, fetchIsRecent ? old.kept() : 0,
                fetchIsRecent ? old.meanWork() : 0, fetchIsRecent ? old.works() : 0, kinds(old, ageUs, reasons),
                workers(old, listedWorkers, ageUs, reasons), old.buckets(), keys(old, now, now)), reasons);
    }

    private boolean isRecent(long ageUs, long timeConstantUs) {
        return ageUs < settings.maxTimeConstants() * timeConstantUs;
    }

    private static double decay(double weight, long ageUs, long timeConstantUs) {
        return weight * Math.exp(-(double) ageUs / timeConstantUs);
    }

    private List<LearnedState.Kind> kinds(LearnedState old, long ageUs, List<String> reasons) {
        if (!isRecent(ageUs, settings.kindSpeedUs())) {
            reasons.add("kinds: " + ageUs / 1_000_000 + " s old");
            return List.of();
        }
        return old.kinds().stream().map(k -> new LearnedState.Kind(k.kind(), decay(k.sum(), ageUs, settings.kindSpeedUs()),
                decay(k.weight(), ageUs, settings.kindSpeedUs()), k.slots())).toList();
    }

    private List<LearnedState.Worker> workers(LearnedState old, List<Worker> listedWorkers, long ageUs, List<String> reasons) {
        Map<Long, Worker> listedById = new HashMap<>();
        listedWorkers.forEach(w -> listedById.put(w.id(), w));
        List<LearnedState.Worker> workers = new ArrayList<>();
        int removed = 0;
        int replaced = 0;
        for (LearnedState.Worker saved : old.workers()) {
            Worker worker = listedById.get(saved.id());
            if (worker == null || worker.state() == State.GONE) {
                removed++;
                continue;
            }
            if (worker.kind() != saved.kind()) {
                // A different machine under the same name: only the work that it may have been sent is kept.
                replaced++;
                workers.add(new LearnedState.Worker(saved.id(), worker.kind(), worker.startedAtUs(), saved.lostAt(), 0, 0, 0, saved.work(), List.of()));
                continue;
            }
            boolean restarted = worker.startedAtUs() > saved.startedAt();
            boolean speedIsRecent = isRecent(ageUs, settings.workerSpeedUs());
            // Speed and slots describe the machine and survive a restart; the keys kept by the worker's process do not.
            workers.add(new LearnedState.Worker(saved.id(), saved.kind(), worker.startedAtUs(), saved.lostAt(),
                    speedIsRecent ? decay(saved.sum(), ageUs, settings.workerSpeedUs()) : 0,
                    speedIsRecent ? decay(saved.weight(), ageUs, settings.workerSpeedUs()) : 0,
                    isRecent(ageUs, settings.kindSpeedUs()) ? saved.slots() : 0, saved.work(),
                    restarted || ageUs >= settings.keptKeysUs() ? List.of() : saved.kept()));
        }
        if (removed > 0) {
            reasons.add(removed + " workers: no longer listed");
        }
        if (replaced > 0) {
            reasons.add(replaced + " workers: of another kind now");
        }
        return workers;
    }

    /** Keeps only the work sent to workers in slow start, also for workers that are not listed yet. */
    private static List<LearnedState.Worker> slowStartWorkers(LearnedState old, long now) {
        return old.workers().stream().filter(p -> p.work() > 0).map(p -> new LearnedState.Worker(p.id(), p.kind(), p.startedAt(),
                Math.min(p.lostAt(), now), 0, 0, 0, p.work(), List.of())).toList();
    }

    private static List<LearnedState.Key> keys(LearnedState old, long referenceUs, long now) {
        // In a state from the future, the remaining validity of each key counts from now.
        return old.keys().stream().filter(k -> k.until() > referenceUs).map(k -> new LearnedState.Key(k.key(),
                referenceUs > now ? now + (k.until() - referenceUs) : k.until())).toList();
    }
}
