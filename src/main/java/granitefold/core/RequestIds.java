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

    RequestIds(List<JobClass> classes) {
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
            endedIds.put(StableHash.of(id), now + retentionUs);
            dropOldest(now);
        }
    }

    private void dropOldest(long now) {
        Iterator<Long> expiryTimes = endedIds.values().iterator();
        while (expiryTimes.hasNext() && (expiryTimes.next() <= now || endedIds.size() > MAX_ENDED_IDS)) {
            expiryTimes.remove();
        }
    }

    /** Returns whether an ended request of this id may have run. */
    boolean mayHaveRun(String id, long now) {
        Long until = endedIds.isEmpty() ? null : endedIds.get(StableHash.of(id));
        return until != null && until > now;
    }
}
