package granitefold.policy;

import granitefold.Dispatcher;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Load reports due to the siblings that share our workers, and the byte budget for them. A send is reported
 * at once. An ended job waits for the next send or gossip round and shares its message: thus every sibling of
 * a large fleet gets all reports, for the bytes that separate messages to some of them would take. Each
 * request adds to the budget.
 */
final class LoadReportQueue {
    /**
     * Bytes added per request, enough for a send, an end and a bucket to 16 siblings; and the most saved up.
     */
    static final double BYTES_PER_REQUEST = 448, MAX_SAVED_BYTES = 5_000;

    /** Bytes added per request for relaying buckets. */
    static final double RELAY_BYTES_PER_REQUEST = 32;

    private final Set<TrackedWorker> due = new LinkedHashSet<>();
    private double availableBytes = MAX_SAVED_BYTES / 4;
    double relayBytes;

    void addBytesForRequest() {
        availableBytes = Math.min(MAX_SAVED_BYTES, availableBytes + BYTES_PER_REQUEST);
        relayBytes = Math.min(MAX_SAVED_BYTES, relayBytes + RELAY_BYTES_PER_REQUEST);
    }

    /** Queues a report on a worker that has this much work of ours. */
    void add(TrackedWorker worker, double workUs) {
        worker.reportedWorkUs = workUs;
        due.add(worker);
    }

    /**
     * Sends the queued reports, one message to each sibling concerned, with our use of a tenant's bucket
     * (null: none). Returns the number of siblings that were sent a message. Reports beyond the byte budget
     * are dropped; the next report on the same worker replaces them.
     */
    int send(int selfIndex, int tenant, TokenBucket bucket, SplittableRandom random,
            Dispatcher.Actions actions) {
        List<Integer> siblings = due.stream().flatMap(w -> w.sharingSiblings.stream()).distinct().toList();
        int first = siblings.isEmpty() ? 0 : random.nextInt(siblings.size());
        int sent = 0;
        for (; sent < siblings.size(); sent++) {
            int sibling = siblings.get((first + sent) % siblings.size());
            byte[] message = SiblingMessage.begin();
            int length = SiblingMessage.MAGIC.length;
            if (bucket != null) {
                length = SiblingMessage.putBucketUse(message, length, tenant, selfIndex,
                        bucket.used[selfIndex], bucket.credited);
            }
            for (TrackedWorker worker : due) {
                if (length <= SiblingMessage.MAX_BYTES - SiblingMessage.MAX_ENTRY_BYTES
                        && worker.sharingSiblings.contains(sibling)) {
                    length = SiblingMessage.putWorkerLoad(message, length, worker.id, worker.reportedWorkUs,
                            worker.heldSlots());
                }
            }
            if (availableBytes < length + 1) {
                break;
            }
            actions.sendToSibling(sibling, SiblingMessage.end(message, length));
            availableBytes -= length + 1;
        }
        due.clear();
        return sent;
    }
}
