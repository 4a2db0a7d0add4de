package granitefold.policy;

import granitefold.Dispatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What this dispatcher knows of one worker. Holds data only; {@link DispatchPolicy} and its parts judge it.
 */
final class TrackedWorker {
    /** Job keys remembered per worker: more than a worker keeps. */
    private static final int MAX_REMEMBERED_KEYS = 64;

    final long id;
    double size;
    Dispatcher.State state;
    long startedAt;
    int zone;
    int cell;
    int kind;

    /** Open attempts of this dispatcher on the worker, oldest first. */
    final List<Attempt> openAttempts = new ArrayList<>(4);
    /** Estimated number of connections to it: the largest number of attempts open at once. */
    int connections;
    final SpeedEstimate speed = new SpeedEstimate(WaitEstimator.WORKER_SPEED_DECAY);
    /** Keys of the jobs sent to it, the latest first. */
    private final List<Long> sentKeys = new ArrayList<>();
    /** Largest number of slots seen free or busy at once; 0 while unknown. */
    int slotsSeen;
    /** Sends during its slow start: time and work. */
    final ArrayDeque<double[]> slowStartSends = new ArrayDeque<>(2);

    /** Consecutive refusals, the time of the last one, and until when the worker is avoided for them. */
    int consecutiveRefusals;
    long refusedAt;
    long avoidedUntil;
    /** Time of its last answer or progress note, and whether one is overdue. */
    long lastSignalAt;
    boolean silent;
    /** Last failed connection. It may have restarted since, which the worker list reports late or never. */
    long connectFailedAt;

    /** Whether siblings were sent a report of our load on it, until when that is valid, and their reports. */
    boolean loadReported;
    long loadReportedUntil;
    double reportedWorkUs;
    final List<SiblingLoad> siblingLoads = new ArrayList<>(4);

    /**
     * Whether our subset holds it, the other dispatchers whose subset does, and our rank among its owners.
     */
    boolean inSubset;
    final List<Integer> sharingSiblings = new ArrayList<>();
    int ownerRank = -1;
    /** Whether the orders that subsets are made from hold it. */
    boolean inOrders;
    /** The number of the last estimate of waits that it was a candidate in. */
    long lastEstimate;

    /** Wait for the job last estimated: from the load known there, and with the expected delay added. */
    double knownWaitUs;
    double expectedWaitUs;
    /** Wait for a single slot: the length of the queue, whatever the job. */
    double queueWaitUs;

    /**
     * A sibling's load report: its jobs there, the time each takes, when they start, and the report's expiry.
     */
    record SiblingLoad(int sibling, int jobs, double runUs, long startsAt, long validUntil) { }

    TrackedWorker(long id) {
        this.id = id;
    }

    /** Returns a hash that is the same on all dispatchers. */
    static long hash(long id, long salt) {
        long z = (id + 1) * 0x9E3779B97F4A7C15L ^ (salt + 1) * 0xD1B54A32D192ED03L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Applies the worker's entry in the list. */
    void update(Dispatcher.Worker entry) {
        size = entry.size() > 0 && entry.size() < 1e9 ? entry.size() : 1;
        state = entry.state();
        startedAt = entry.startedAtUs();
        zone = entry.zone();
        cell = entry.cell();
        kind = entry.kind();
    }

    /** Records that neither the orders hold it nor any dispatcher's subset. */
    void leaveOrders() {
        inOrders = false;
        inSubset = false;
        sharingSiblings.clear();
    }

    /** Latest time at which it may have started: as listed, or at a failed connection; 0 for long ago. */
    long latestPossibleStart() {
        return Math.max(startedAt, connectFailedAt);
    }

    /**
     * Number of other keys sent to it since this one; {@code Integer.MAX_VALUE} if this key is not
     * remembered.
     */
    int keysSince(long key) {
        int index = sentKeys.indexOf(key);
        return index < 0 ? Integer.MAX_VALUE : index;
    }

    /** Keys of the jobs sent to it, the latest first. */
    List<Long> sentKeys() {
        return List.copyOf(sentKeys);
    }

    /** Appends the keys that a previous process sent, behind those of this one. */
    void restoreKeys(List<Long> previousKeys) {
        for (Long key : previousKeys) {
            if (sentKeys.size() < MAX_REMEMBERED_KEYS && !sentKeys.contains(key)) {
                sentKeys.add(key);
            }
        }
    }

    /** Records that a job with this key (0: none) was sent to it. */
    void recordKey(long key) {
        if (key == 0) {
            return;
        }
        if (!sentKeys.remove((Long) key) && sentKeys.size() == MAX_REMEMBERED_KEYS) {
            sentKeys.remove(MAX_REMEMBERED_KEYS - 1);
        }
        sentKeys.add(0, key);
    }

    /** Slots that our open attempts hold or wait for. */
    int heldSlots() {
        int slots = 0;
        for (Attempt attempt : openAttempts) {
            slots += attempt.job.slots;
        }
        return slots;
    }

    /**
     * Slots that our attempts ran on at a time far enough back for answers sent before it to have arrived.
     * Counted as of now, a start would add to the job whose end made room for it.
     */
    int runningSlots(long at) {
        int slots = 0;
        for (Attempt attempt : openAttempts) {
            slots += attempt.startedAt != 0 && attempt.startedAt <= at ? attempt.job.slots : 0;
        }
        return slots;
    }
}
