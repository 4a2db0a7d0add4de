package granitefold.rollout;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Latest status of each supervisor, and the crashes since the stage was entered. */
final class Observations {
    /** Age above which a status is ignored. */
    static final long MAX_STATUS_AGE_US = 3_000_000;
    /** Delay before a crash is evaluated: a fault that affects all dispatchers has shown up at all of them by then. */
    static final long CRASH_SETTLE_US = 3_000_000;

    private record Observation(SupervisorStatus status, long atUs) { }

    /** Process that a dispatcher's samples come from, and when it was first seen to replace another. */
    private record Incarnation(long number, long sinceUs) { }

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Map<String, Observation> latest = new TreeMap<>();
    private final Map<String, Incarnation> incarnations = new TreeMap<>();
    /** Crash count of each dispatcher when the stage was entered, or at its first status after that. */
    private final Map<String, Integer> initialCrashes = new TreeMap<>();
    private long crashSeenAt = Long.MAX_VALUE;

    /** Resets the crash counts for a new stage. */
    void startStage() {
        initialCrashes.clear();
        crashSeenAt = Long.MAX_VALUE;
    }

    /** Records a status; {@code countCrashes}: whether crashes are counted at present. */
    void update(String dispatcher, SupervisorStatus s, boolean countCrashes, long now) {
        latest.put(dispatcher, new Observation(s, now));
        if (s.sample() != null) {
            Incarnation current = incarnations.get(dispatcher);
            if (current == null || current.number != s.sample().life()) {
                incarnations.put(dispatcher, new Incarnation(s.sample().life(), current == null ? LONG_AGO : now));
            }
        }
        if (countCrashes && s.crashes() > initialCrashes.computeIfAbsent(dispatcher, d -> s.crashes()) && crashSeenAt == Long.MAX_VALUE) {
            crashSeenAt = now;
        }
    }

    /** Returns a supervisor's latest status, or null if it is too old. */
    SupervisorStatus recentStatus(String dispatcher, long now) {
        Observation s = latest.get(dispatcher);
        return s != null && now - s.atUs < MAX_STATUS_AGE_US ? s.status : null;
    }

    /** Returns whether a crash was seen and the delay before its evaluation is over. */
    boolean crashesDue(long now) {
        return now - CRASH_SETTLE_US >= crashSeenAt;
    }

    void crashesEvaluated() {
        crashSeenAt = Long.MAX_VALUE;
    }

    /** Returns whether no crash is waiting for its evaluation. */
    boolean noCrashPending() {
        return crashSeenAt == Long.MAX_VALUE;
    }

    /** Returns the number of crashes of some dispatchers since the stage was entered. */
    int crashCount(Collection<String> dispatchers) {
        return dispatchers.stream().filter(latest::containsKey).mapToInt(d -> latest.get(d).status.crashes()
                - initialCrashes.getOrDefault(d, latest.get(d).status.crashes())).sum();
    }

    /** Returns the recent samples of some dispatchers; a process that replaced another is left out until it has run for {@code warmUpUs}. */
    Map<String, Sample> samples(Collection<String> dispatchers, long now, long warmUpUs) {
        Map<String, Sample> all = new LinkedHashMap<>();
        for (String d : dispatchers) {
            SupervisorStatus s = recentStatus(d, now);
            if (s != null && s.sample() != null && now - incarnations.get(d).sinceUs >= warmUpUs) {
                all.put(d, s.sample());
            }
        }
        return all;
    }
}
