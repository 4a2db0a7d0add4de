package granitefold.standin.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.standin.world.WorkerModel.State;
import granitefold.standin.world.WorkerModel.Ticket;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class WorkerModelTest {
    private static final WorkerSpec SPEC = new WorkerSpec(4, 2, 3, 0.25, 4_000_000, 3, 1_000_000, 100_000, 2, 50_000);

    /** Slots are never oversold, jobs start in their order, and each one ends. */
    @Property(tries = 300)
    void neverMoreThanItsSlotsAndInOrder(@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 4) Integer> slots,
            @ForAll @IntRange(max = 100_000) int gap) {
        WorkerModel m = new WorkerModel(SPEC, Long.MIN_VALUE);
        List<Ticket> taken = new ArrayList<>();
        List<Integer> sizes = new ArrayList<>();
        long now = 0;
        for (int s : slots) {
            Ticket t = m.offer(s, 100_000, null, now);
            if (t != null) {
                taken.add(t);
                sizes.add(s);
            }
            int running = 0;
            boolean queued = false;
            for (int i = 0; i < taken.size(); i++) {
                running += taken.get(i).state() == State.RUNNING ? sizes.get(i) : 0;
                assertFalse(queued && taken.get(i).state() != State.QUEUED, "a later one has overtaken");
                queued |= taken.get(i).state() == State.QUEUED;
            }
            assertTrue(running <= SPEC.slots() && m.waiting() <= SPEC.queueLimit());
            now += gap;
        }
        for (int i = 0; i < slots.size(); i++) {
            now += 100_000;
            m.advance(now);
        }
        assertTrue(taken.stream().allMatch(t -> t.state() == State.DONE));
    }

    @Test
    void aColdOneIsSlowAndFallsWhenSentTooMuch() {
        WorkerModel m = new WorkerModel(SPEC, 0);
        assertEquals(0.25, m.warmth(0), 1e-9);
        assertEquals(0.625, m.warmth(2_000_000), 1e-9);
        assertEquals(200_000 + 50_000, m.offer(1, 100_000, "a", 0).endsAtUs());
        // it may be sent 3 x 4 x 2 x 0.25 / 0.1 = 60 in the second, and chance beside
        int sent = 1;
        while (!m.fallen()) {
            m.offer(1, 100_000, "a", 1000);
            sent++;
        }
        assertTrue(sent > 60 && sent < 80, sent + " sent");
        assertNull(m.offer(1, 100_000, "a", 9_000_000));
    }

    @Test
    void whatItKeepsIsNotFetchedAgain() {
        WorkerModel m = new WorkerModel(SPEC, Long.MIN_VALUE);
        assertEquals(100_000, m.offer(1, 100_000, "a", 0).endsAtUs());
        assertEquals(50_000, m.offer(1, 100_000, "a", 0).endsAtUs());
        m.offer(1, 100_000, "b", 0);
        m.offer(1, 100_000, "c", 0);
        assertEquals(1_100_000, m.offer(1, 100_000, "a", 1_000_000).endsAtUs());
    }

    @Test
    void aLostJobLeavesItsKeyFree() {
        DeduplicationWindow w = new DeduplicationWindow(1000);
        assertEquals(DeduplicationWindow.Found.NEW, w.begin("k", 0));
        assertEquals(DeduplicationWindow.Found.RUNNING, w.begin("k", 10));
        w.lost("k");
        assertEquals(DeduplicationWindow.Found.NEW, w.begin("k", 20));
        w.done("k", "R", 30);
        assertEquals(DeduplicationWindow.Found.DONE, w.begin("k", 1000));
        assertEquals("R", w.result("k"));
        assertEquals(DeduplicationWindow.Found.NEW, w.begin("k", 1031));
    }
}
