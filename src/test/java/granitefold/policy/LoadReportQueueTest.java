package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Recipients and byte budget of load reports. */
class LoadReportQueueTest {
    private final TestBed bed = new TestBed(4, false);
    private final LoadReportQueue reports = new LoadReportQueue();
    private final SplittableRandom random = new SplittableRandom(1);

    private int send(TrackedWorker... due) {
        for (TrackedWorker worker : due) {
            reports.add(worker, 100_000);
        }
        return reports.send(0, -1, null, random, bed);
    }

    private static TrackedWorker worker(long id, Integer... sharingSiblings) {
        TrackedWorker worker = new TrackedWorker(id);
        worker.sharingSiblings.addAll(List.of(sharingSiblings));
        return worker;
    }

    @Test
    void eachSiblingReceivesReportsOnTheWorkersItShares() {
        assertEquals(3, send(worker(10, 1, 2), worker(11, 2, 3)));
        for (int i = 0; i < 3; i++) {
            long[] entries = SiblingMessage.read(bed.messages.get(i), 2, 4);
            assertEquals(bed.recipients.get(i) == 2 ? 8 : 4, entries.length);
            assertEquals(bed.recipients.get(i) == 3 ? 11 : 10, entries[1]);
        }
        assertEquals(0, send(), "reported once");
    }

    /** Retries and ended jobs add nothing to the byte budget: many of them must not cause a flood of datagrams. */
    @Test
    void reportsBeyondTheByteBudgetAreNotSent() {
        int sent = 0;
        for (int i = 0; i < 1_000; i++) {
            sent += send(worker(10, 1, 2, 3));
        }
        long bytes = bed.messages.stream().mapToLong(m -> m.length).sum();
        assertTrue(sent > 0 && bytes <= LoadReportQueue.MAX_SAVED_BYTES, bytes + " bytes");
        reports.addBytesForRequest();
        assertEquals(3, send(worker(10, 1, 2, 3)));
    }
}
