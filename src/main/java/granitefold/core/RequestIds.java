package granitefold.core;

import granitefold.Dispatcher.JobClass;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The clients' ids of requests that are open, and of those that have ended and may have run: a worker may still be running such a
 * request, and must not get it again under the same id. Bounded: of ended ones only the latest are remembered.
 */
final class RequestIds {
    /** The most ids of ended requests, about 100 bytes each. */
    static final int MAX_ENDED_IDS = 16_384;
    /** The shortest time for which the id of an ended request is remembered. */
    static final long MIN_RETENTION_US = 60_000_000;

    private final Set<String> openIds = new HashSet<>();
    /** Hashes of the ids that may have run, the oldest first, with the time until which they are remembered. */
    private final Map<Long, Long> endedIds = new LinkedHashMap<>();
    private final long retentionUs;
    private final long hashSeed;

    /** @param hashSeed differs between processes, so that nobody can choose two ids of one hash */
    RequestIds(List<JobClass> classes, long hashSeed) {
        this.hashSeed = hashSeed;
        retentionUs = classes.stream().mapToLong(c -> Math.max(c.deadlineUs(), c.dedupWindowUs())).reduce(MIN_RETENTION_US, Math::max);
    }

    /** Records that a request has begun; returns false if one of its id is open, or may have run. */
    boolean open(String id, long now) {
        return !mayHaveRun(id, now) && openIds.add(id);
    }

    /** Records that a request has ended. */
    void ended(String id, boolean mayHaveRun, long now) {
        openIds.remove(id);
        if (mayHaveRun) {
            endedIds.put(hash(id), now + retentionUs);
            dropOldest(now);
        }
    }

    private void dropOldest(long now) {
        Iterator<Long> expiryTimes = endedIds.values().iterator();
        while (expiryTimes.hasNext() && (expiryTimes.next() <= now || endedIds.size() > MAX_ENDED_IDS)) {
            expiryTimes.remove();
        }
    }

    /** Mixes each character by the steps of a SplitMix64 generator: computed for each request, it has to be cheap. */
    private long hash(String id) {
        long hash = hashSeed;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash + id.charAt(i) + 1) * 0x9E3779B97F4A7C15L;
            hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
            hash ^= hash >>> 27;
        }
        return hash;
    }

    /** Returns whether an ended request of this id may have run. */
    boolean mayHaveRun(String id, long now) {
        Long until = endedIds.isEmpty() ? null : endedIds.get(hash(id));
        return until != null && until > now;
    }
}
