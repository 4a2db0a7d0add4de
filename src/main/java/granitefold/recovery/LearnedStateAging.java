package granitefold.recovery;

import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes what was learned over the time that has passed since, and over a list that may have changed. Everything errs to
 * the safe side: what is older than its use, of a worker that restarted since, or from the future, is dropped; what
 * could break a rule (work sent to cold workers, keys that may have run) is kept for its whole span, and buckets' counts, which only grow,
 * for good: the module refills their credit for the time away, to their capacity at the most.
 */
public final class LearnedStateAging {
    /** A file may be ahead of the clock by so much and still be believed: clocks are set. */
    static final long MAX_CLOCK_SKEW_US = 2_000_000;

    private final LearnedStateAgingSettings set;

    /** {@code reasons}: what was dropped and why, a line each kind of reason. */
    public record Result(LearnedState state, List<String> dropReasons) { }

    public LearnedStateAging(LearnedStateAgingSettings set) {
        this.set = set;
    }

    /** What still holds at {@code now}, by the list of workers as it is known; null where nothing does. */
    public Result apply(LearnedState old, List<Worker> list, long now) {
        List<String> reasons = new ArrayList<>();
        long age = now - old.at();
        if (age < -MAX_CLOCK_SKEW_US) {
            // the clock was set back: no age can be told. Keys and cold work still hold, as if written just now
            reasons.add("written " + -age / 1_000_000 + " s in the future: only keys and work sent to cold workers are kept");
            return new Result(new LearnedState(now, 0, 0, 0, 0, List.of(), cold(old, now), List.of(), keys(old, old.at(), now)),
                    reasons);
        }
        age = Math.max(0, age);
        boolean fetch = holds(age, set.fetchTimeUs());
        if (!fetch) {
            reasons.add("fetch time and mean work: " + age / 1_000_000 + " s old");
        }
        return new Result(new LearnedState(now, fetch ? old.fetchUs() : 0, fetch ? old.kept() : 0, fetch ? old.meanWork() : 0,
                fetch ? old.works() : 0, kinds(old, age, reasons), workers(old, list, age, reasons), old.buckets(),
                keys(old, now, now)), reasons);
    }

    private boolean holds(long age, long constant) {
        return age < set.maxTimeConstants() * constant;
    }

    private static double fade(double weight, long age, long constant) {
        return weight * Math.exp(-(double) age / constant);
    }

    private List<LearnedState.Kind> kinds(LearnedState old, long age, List<String> reasons) {
        if (!holds(age, set.kindSpeedUs())) {
            reasons.add("kinds: " + age / 1_000_000 + " s old");
            return List.of();
        }
        return old.kinds().stream().map(k -> new LearnedState.Kind(k.kind(), fade(k.sum(), age, set.kindSpeedUs()),
                fade(k.weight(), age, set.kindSpeedUs()), k.slots())).toList();
    }

    private List<LearnedState.Worker> workers(LearnedState old, List<Worker> list, long age, List<String> reasons) {
        Map<Long, Worker> listed = new HashMap<>();
        list.forEach(w -> listed.put(w.id(), w));
        List<LearnedState.Worker> workers = new ArrayList<>();
        int gone = 0;
        int changed = 0;
        for (LearnedState.Worker p : old.workers()) {
            Worker w = listed.get(p.id());
            if (w == null || w.state() == State.GONE) {
                gone++;
                continue;
            }
            if (w.kind() != p.kind()) {
                // another machine under the same name: nothing of it is known but what it may have been sent
                changed++;
                workers.add(new LearnedState.Worker(p.id(), w.kind(), w.startedAtUs(), p.lostAt(), 0, 0, 0, p.work(), List.of()));
                continue;
            }
            boolean restarted = w.startedAtUs() > p.startedAt();
            boolean speed = holds(age, set.workerSpeedUs());
            // what it was learned while it ran tells of the machine, and stays; what it kept is gone with the process
            workers.add(new LearnedState.Worker(p.id(), p.kind(), w.startedAtUs(), p.lostAt(),
                    speed ? fade(p.sum(), age, set.workerSpeedUs()) : 0, speed ? fade(p.weight(), age, set.workerSpeedUs()) : 0,
                    holds(age, set.kindSpeedUs()) ? p.slots() : 0, p.work(),
                    restarted || age >= set.keptKeysUs() ? List.of() : p.kept()));
        }
        if (gone > 0) {
            reasons.add(gone + " workers: no longer listed");
        }
        if (changed > 0) {
            reasons.add(changed + " workers: of another kind now");
        }
        return workers;
    }

    /** Only what was sent to cold workers, for workers that the list need not name yet. */
    private static List<LearnedState.Worker> cold(LearnedState old, long now) {
        return old.workers().stream().filter(p -> p.work() > 0).map(p -> new LearnedState.Worker(p.id(), p.kind(), p.startedAt(),
                Math.min(p.lostAt(), now), 0, 0, 0, p.work(), List.of())).toList();
    }

    private static List<LearnedState.Key> keys(LearnedState old, long from, long now) {
        // from the future: the whole span that is left of each counts from now
        return old.keys().stream().filter(k -> k.until() > from).map(k -> new LearnedState.Key(k.key(),
                from > now ? now + (k.until() - from) : k.until())).toList();
    }
}
