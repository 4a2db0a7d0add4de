package granitefold.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Checks what remains of a saved state after some time and with a changed worker list. */
class LearnedStateAgingTest {
    private static final long SECOND_US = 1_000_000, SAVED_AT_US = 1_000_000 * SECOND_US;
    private final LearnedStateAging aging = new LearnedStateAging(LearnedStateAgingSettings.DEFAULTS);
    private final LearnedState old = new LearnedState(SAVED_AT_US, 3e5, 6, 4e5, 900, List.of(new LearnedState.Kind(0, 10, 40, 6)), List.of(
            worker(1, 0, SAVED_AT_US - 500 * SECOND_US), worker(2, 0, 0), worker(3, 1, 0)),
            List.of(new LearnedState.Bucket(0, List.of(7L), 9, SAVED_AT_US)), List.of(new LearnedState.Key(5, SAVED_AT_US + 12 * SECOND_US)));

    private static LearnedState.Worker worker(long id, int kind, long startedAt) {
        return new LearnedState.Worker(id, kind, startedAt, SAVED_AT_US - SECOND_US, 4, 8, 6, 1e5, List.of(11L, 12L));
    }

    private static Worker worker(long id, int kind, long startedAt, State state) {
        return new Worker(id, 1, state, startedAt, 0, 0, kind);
    }

    private static final List<Worker> LIST = List.of(worker(1, 0, SAVED_AT_US - 500 * SECOND_US, State.READY), worker(2, 0, 0, State.READY),
            worker(3, 1, 0, State.READY));

    @Test
    void fewSecondsKeepAlmostEverything() {
        LearnedStateAging.Result aged = aging.apply(old, LIST, SAVED_AT_US + 5 * SECOND_US);
        assertEquals(List.of(), aged.dropReasons());
        assertEquals(8 * Math.exp(-5.0 / 60), aged.state().workers().get(0).weight(), 1e-9);
        assertEquals(4 / 8.0, aged.state().workers().get(0).sum() / aged.state().workers().get(0).weight(), 1e-9, "the mean speed is unchanged");
        assertEquals(List.of(11L, 12L), aged.state().workers().get(0).kept());
        assertEquals(old.keys(), aged.state().keys());
    }

    @Test
    void daysKeepOnlyKindsAndBucketCounts() {
        LearnedStateAging.Result aged = aging.apply(old, LIST, SAVED_AT_US + 2 * 86_400 * SECOND_US);
        assertTrue(aged.state().workers().stream().allMatch(p -> p.weight() == 0 && p.kept().isEmpty()));
        assertEquals(0, aged.state().works());
        assertEquals(List.of(), aged.state().keys());
        assertEquals(List.of(7L), aged.state().buckets().get(0).used(), "a count that only grows is kept at any age");
        assertTrue(aged.state().kinds().get(0).weight() > 0);
        assertTrue(aging.apply(old, LIST, SAVED_AT_US + 6 * 86_400 * SECOND_US).state().kinds().isEmpty());
    }

    @Test
    void restartedRemovedAndReplacedWorkersLoseTheirState() {
        LearnedStateAging.Result aged = aging.apply(old,
                List.of(worker(1, 0, SAVED_AT_US + SECOND_US, State.READY), worker(3, 0, 0, State.READY)), SAVED_AT_US + 2 * SECOND_US);
        LearnedState.Worker restarted = aged.state().workers().get(0);
        assertEquals(List.of(), restarted.kept());
        assertTrue(restarted.weight() > 0 && restarted.slots() == 6, "speed and slots belong to the machine");
        LearnedState.Worker replaced = aged.state().workers().get(1);
        assertTrue(replaced.weight() == 0 && replaced.slots() == 0 && replaced.kept().isEmpty());
        assertEquals(1e5, replaced.work(), "work sent to a worker in slow start is kept even if the worker was replaced");
        assertEquals(2, aged.state().workers().size());
        assertEquals(List.of("1 workers: no longer listed", "1 workers: of another kind now"), aged.dropReasons());
    }

    /** At any clock time, values that guard a rule keep their strength, and no value gains weight. */
    @Property(tries = 500)
    void agingNeverWeakensSafetyLimits(@ForAll @LongRange(min = -100_000_000, max = 100_000_000) long laterUs) {
        LearnedState aged = aging.apply(old, LIST, SAVED_AT_US + laterUs).state();
        for (LearnedState.Worker worker : aged.workers()) {
            assertEquals(1e5, worker.work());
            assertTrue(worker.weight() <= 8);
        }
        assertEquals(3, aged.workers().size());
        long remainingUs = aged.keys().stream().mapToLong(k -> k.until() - (SAVED_AT_US + laterUs)).sum();
        assertTrue(remainingUs >= Math.min(12 * SECOND_US, Math.max(0, 12 * SECOND_US - laterUs)),
                "the remaining validity of the key: " + remainingUs);
        assertTrue(laterUs <= 0 || remainingUs <= 12 * SECOND_US);
    }
}
