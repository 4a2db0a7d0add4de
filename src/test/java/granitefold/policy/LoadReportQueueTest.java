package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What goes to whom, and how much of it. */
class LoadReportQueueTest {
    private final TestBed out = new TestBed(4, false);
    private final LoadReportQueue words = new LoadReportQueue();
    private final SplittableRandom random = new SplittableRandom(1);

    private int tell(TrackedWorker... due) {
        for (TrackedWorker n : due) {
            words.add(n, 100_000);
        }
        return words.send(0, -1, null, random, out);
    }

    private static TrackedWorker node(long id, Integer... sharers) {
        TrackedWorker n = new TrackedWorker(id);
        n.sharingSiblings.addAll(List.of(sharers));
        return n;
    }

    @Test
    void eachSiblingHearsOfTheWorkersItShares() {
        assertEquals(3, tell(node(10, 1, 2), node(11, 2, 3)));
        for (int i = 0; i < 3; i++) {
            long[] e = SiblingMessage.read(out.told.get(i), 2, 4);
            assertEquals(out.toldTo.get(i) == 2 ? 8 : 4, e.length);
            assertEquals(out.toldTo.get(i) == 3 ? 11 : 10, e[1]);
        }
        assertEquals(0, tell(), "told once");
    }

    /** Retries and ends earn nothing: a storm of them must not become a storm of datagrams. */
    @Test
    void whatNoRequestEarnedIsNotTold() {
        int told = 0;
        for (int i = 0; i < 1_000; i++) {
            told += tell(node(10, 1, 2, 3));
        }
        long bytes = out.told.stream().mapToLong(m -> m.length).sum();
        assertTrue(told > 0 && bytes <= LoadReportQueue.MAX_SAVED_BYTES, bytes + " bytes");
        words.addBytesForRequest();
        assertEquals(3, tell(node(10, 1, 2, 3)));
    }
}
