package granitefold.standin.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.standin.world.WorkerModel.State;
import granitefold.standin.world.WorkerModel.Job;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class WorkerModelTest {
    private static final WorkerSpec SPEC = new WorkerSpec(4, 2, 3, 0.25, 4_000_000, 3, 1_000_000, 100_000, 2, 50_000);

    /** Running jobs never take more than all slots, jobs start in order, and each one ends. */
    @Property(tries = 300)
    void runsJobsInOrderWithinItsSlots(@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 4) Integer> slots,
            @ForAll @IntRange(max = 100_000) int gapUs) {
        WorkerModel model = new WorkerModel(SPEC, Long.MIN_VALUE);
        List<Job> accepted = new ArrayList<>();
        List<Integer> sizes = new ArrayList<>();
        long now = 0;
        for (int s : slots) {
            Job job = model.offer(s, 100_000, null, now);
            if (job != null) {
                accepted.add(job);
                sizes.add(s);
            }
            int running = 0;
            boolean queued = false;
            for (int i = 0; i < accepted.size(); i++) {
                running += accepted.get(i).state() == State.RUNNING ? sizes.get(i) : 0;
                assertFalse(queued && accepted.get(i).state() != State.QUEUED, "a later job has started first");
                queued |= accepted.get(i).state() == State.QUEUED;
            }
            assertTrue(running <= SPEC.slots() && model.queued() <= SPEC.queueLimit());
            now += gapUs;
        }
        for (int i = 0; i < slots.size(); i++) {
            now += 100_000;
            model.advance(now);
        }
        assertTrue(accepted.stream().allMatch(t -> t.state() == State.DONE));
    }

    @Test
    void isSlowInItsSlowStartAndCrashesWhenOverloaded() {
        WorkerModel model = new WorkerModel(SPEC, 0);
        assertEquals(0.25, model.speedShare(0), 1e-9);
        assertEquals(0.625, model.speedShare(2_000_000), 1e-9);
        assertEquals(200_000 + 50_000, model.offer(1, 100_000, "a", 0).endsAtUs());
        // the limit is 3 x 4 x 2 x 0.25 / 0.1 = 60 jobs in the second, plus the allowance for random variation
        int sent = 1;
        while (!model.crashed()) {
            model.offer(1, 100_000, "a", 1000);
            sent++;
        }
        assertTrue(sent > 60 && sent < 80, sent + " sent");
        assertNull(model.offer(1, 100_000, "a", 9_000_000));
    }

    @Test
    void fetchesCachedKeysOnce() {
        WorkerModel model = new WorkerModel(SPEC, Long.MIN_VALUE);
        assertEquals(100_000, model.offer(1, 100_000, "a", 0).endsAtUs());
        assertEquals(50_000, model.offer(1, 100_000, "a", 0).endsAtUs());
        model.offer(1, 100_000, "b", 0);
        model.offer(1, 100_000, "c", 0);
        assertEquals(1_100_000, model.offer(1, 100_000, "a", 1_000_000).endsAtUs());
    }

    @Test
    void aLostJobReleasesItsKey() {
        DeduplicationWindow window = new DeduplicationWindow(1000);
        assertEquals(DeduplicationWindow.KeyState.NEW, window.begin("k", 0));
        assertEquals(DeduplicationWindow.KeyState.RUNNING, window.begin("k", 10));
        window.release("k");
        assertEquals(DeduplicationWindow.KeyState.NEW, window.begin("k", 20));
        window.done("k", "R", 30);
        assertEquals(DeduplicationWindow.KeyState.DONE, window.begin("k", 1000));
        assertEquals("R", window.result("k"));
        assertEquals(DeduplicationWindow.KeyState.NEW, window.begin("k", 1031));
    }
}
