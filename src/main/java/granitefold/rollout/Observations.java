package granitefold.rollout;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** What a rollout has seen of the keepers: their last words, and ends by themselves since the stage was entered. */
final class Observations {
    /** What was seen of a keeper counts for so long. */
    static final long LATELY_US = 3_000_000;
    /** An end by itself is judged so long after it was seen: what hit all shows at all by then. */
    static final long SETTLE_US = 3_000_000;

    private record Observation(SupervisorStatus status, long atUs) { }

    /** The process that tells a dispatcher's figures, and when it was first seen in place of another. */
    private record Incarnation(long number, long sinceUs) { }

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Map<String, Observation> sights = new TreeMap<>();
    private final Map<String, Incarnation> lives = new TreeMap<>();
    /** Ends that each had when the stage was entered, or when it was first seen after that. */
    private final Map<String, Integer> before = new TreeMap<>();
    private long endSeenAt = Long.MAX_VALUE;

    /** A stage is entered. */
    void stage() {
        before.clear();
        endSeenAt = Long.MAX_VALUE;
    }

    /** A keeper has answered; {@code counts}: ends by themselves are of interest now. */
    void saw(String dispatcher, SupervisorStatus s, boolean counts, long now) {
        sights.put(dispatcher, new Observation(s, now));
        if (s.sample() != null) {
            Incarnation life = lives.get(dispatcher);
            if (life == null || life.number != s.sample().life()) {
                lives.put(dispatcher, new Incarnation(s.sample().life(), life == null ? LONG_AGO : now));
            }
        }
        if (counts && s.crashes() > before.computeIfAbsent(dispatcher, d -> s.crashes()) && endSeenAt == Long.MAX_VALUE) {
            endSeenAt = now;
        }
    }

    /** A keeper's last words, or null where they are too old. */
    SupervisorStatus lately(String dispatcher, long now) {
        Observation s = sights.get(dispatcher);
        return s != null && now - s.atUs < LATELY_US ? s.status : null;
    }

    /** Somebody ended, and who else did shows by now. */
    boolean toJudge(long now) {
        return now - SETTLE_US >= endSeenAt;
    }

    void judged() {
        endSeenAt = Long.MAX_VALUE;
    }

    /** Nobody ended that was not judged yet. */
    boolean quiet() {
        return endSeenAt == Long.MAX_VALUE;
    }

    /** Ends by themselves among some, since the stage was entered. */
    int crashed(Collection<String> some) {
        return some.stream().filter(sights::containsKey).mapToInt(d -> sights.get(d).status.crashes()
                - before.getOrDefault(d, sights.get(d).status.crashes())).sum();
    }

    /** Figures that some told lately; those of a process that took the place of another only once it has had so long to warm up. */
    Map<String, Sample> samples(Collection<String> some, long now, long warmUs) {
        Map<String, Sample> all = new LinkedHashMap<>();
        for (String d : some) {
            SupervisorStatus s = lately(d, now);
            if (s != null && s.sample() != null && now - lives.get(d).sinceUs >= warmUs) {
                all.put(d, s.sample());
            }
        }
        return all;
    }
}
