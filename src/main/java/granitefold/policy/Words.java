package granitefold.policy;

import granitefold.Dispatcher;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Words on our work at workers that are due to the siblings who share them. What was sent is told at once; room that
 * came free waits for the next send, or the next round, which takes its word along: so every sibling of many can be
 * told of all, for the bytes that telling some of them each thing apart did cost. Requests earn the bytes.
 */
final class Words {
    /** Bytes a request earns: a send's entry, an end's and a bucket's for 16 siblings; and the most saved up. */
    static final double BYTES = 448, BYTES_SAVED = 5_000;

    /** Bytes a request earns for relaying buckets beside. */
    static final double BYTES_RELAY = 32;

    private final Set<Node> due = new LinkedHashSet<>();
    private double bytes = BYTES_SAVED / 4;
    double relay;

    void earn() {
        bytes = Math.min(BYTES_SAVED, bytes + BYTES);
        relay = Math.min(BYTES_SAVED, relay + BYTES_RELAY);
    }

    /** The word on this worker is due, with so much work of ours there. */
    void due(Node n, double work) {
        n.toldWork = work;
        due.add(n);
    }

    /**
     * Tells what is due, one message to each sibling concerned, with our use of a tenant's bucket (null: none). Tells
     * how many heard it. What the bytes don't reach for is dropped: the next word on that worker makes it good.
     */
    int tell(int me, int tenant, Bucket b, SplittableRandom random, Dispatcher.Actions out) {
        List<Integer> siblings = due.stream().flatMap(n -> n.sharers.stream()).distinct().toList();
        int first = siblings.isEmpty() ? 0 : random.nextInt(siblings.size());
        int told = 0;
        for (; told < siblings.size(); told++) {
            int to = siblings.get((first + told) % siblings.size());
            byte[] m = SiblingMessage.begin();
            int at = SiblingMessage.MAGIC.length;
            if (b != null) {
                at = SiblingMessage.putUse(m, at, tenant, me, b.used[me], b.credited);
            }
            for (Node n : due) {
                if (at <= SiblingMessage.MOST - SiblingMessage.ENTRY_MOST && n.sharers.contains(to)) {
                    at = SiblingMessage.putWork(m, at, n.id, n.toldWork, n.held());
                }
            }
            if (bytes < at + 1) {
                break;
            }
            out.sendToSibling(to, SiblingMessage.end(m, at));
            bytes -= at + 1;
        }
        due.clear();
        return told;
    }
}
