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

/** What time and a changed list leave of a file. */
class LearnedStateAgingTest {
    private static final long S = 1_000_000, AT = 1_000_000 * S;
    private final LearnedStateAging ageing = new LearnedStateAging(LearnedStateAgingSettings.DEFAULTS);
    private final LearnedState old = new LearnedState(AT, 3e5, 6, 4e5, 900, List.of(new LearnedState.Kind(0, 10, 40, 6)), List.of(
            worker(1, 0, AT - 500 * S), worker(2, 0, 0), worker(3, 1, 0)), List.of(new LearnedState.Bucket(0, List.of(7L), 9, AT)),
            List.of(new LearnedState.Key(5, AT + 12 * S)));

    private static LearnedState.Worker worker(long id, int kind, long startedAt) {
        return new LearnedState.Worker(id, kind, startedAt, AT - S, 4, 8, 6, 1e5, List.of(11L, 12L));
    }

    private static Worker worker(long id, int kind, long startedAt, State state) {
        return new Worker(id, 1, state, startedAt, 0, 0, kind);
    }

    private static final List<Worker> LIST = List.of(worker(1, 0, AT - 500 * S, State.READY), worker(2, 0, 0, State.READY),
            worker(3, 1, 0, State.READY));

    @Test
    void aFewSecondsLeaveAlmostAll() {
        LearnedStateAging.Result a = ageing.apply(old, LIST, AT + 5 * S);
        assertEquals(List.of(), a.dropReasons());
        assertEquals(8 * Math.exp(-5.0 / 60), a.state().workers().get(0).weight(), 1e-9);
        assertEquals(4 / 8.0, a.state().workers().get(0).sum() / a.state().workers().get(0).weight(), 1e-9, "the mean stays");
        assertEquals(List.of(11L, 12L), a.state().workers().get(0).kept());
        assertEquals(old.keys(), a.state().keys());
    }

    @Test
    void daysLeaveKindsAndCountsAlone() {
        LearnedStateAging.Result a = ageing.apply(old, LIST, AT + 2 * 86_400 * S);
        assertTrue(a.state().workers().stream().allMatch(p -> p.weight() == 0 && p.kept().isEmpty()));
        assertEquals(0, a.state().works());
        assertEquals(List.of(), a.state().keys());
        assertEquals(List.of(7L), a.state().buckets().get(0).used(), "a count that only grows is never too old");
        assertTrue(a.state().kinds().get(0).weight() > 0);
        assertTrue(ageing.apply(old, LIST, AT + 6 * 86_400 * S).state().kinds().isEmpty());
    }

    @Test
    void workersThatRestartedLeftOrAreOthersLoseWhatTheyLose() {
        LearnedStateAging.Result a = ageing.apply(old, List.of(worker(1, 0, AT + S, State.READY), worker(3, 0, 0, State.READY)), AT + 2 * S);
        LearnedState.Worker restarted = a.state().workers().get(0);
        assertEquals(List.of(), restarted.kept());
        assertTrue(restarted.weight() > 0 && restarted.slots() == 6, "the machine is what it was");
        LearnedState.Worker other = a.state().workers().get(1);
        assertTrue(other.weight() == 0 && other.slots() == 0 && other.kept().isEmpty());
        assertEquals(1e5, other.work(), "work sent to a cold worker counts whatever it is now");
        assertEquals(2, a.state().workers().size());
        assertEquals(List.of("1 workers: no longer listed", "1 workers: of another kind now"), a.dropReasons());
    }

    /** Whenever the clock is, what guards the rules is never weaker than it was, and nothing gains weight. */
    @Property(tries = 500)
    void ageingErrsToTheSafeSide(@ForAll @LongRange(min = -100_000_000, max = 100_000_000) long later) {
        LearnedState a = ageing.apply(old, LIST, AT + later).state();
        for (LearnedState.Worker p : a.workers()) {
            assertEquals(1e5, p.work());
            assertTrue(p.weight() <= 8);
        }
        assertEquals(3, a.workers().size());
        long left = a.keys().stream().mapToLong(k -> k.until() - (AT + later)).sum();
        assertTrue(left >= Math.min(12 * S, Math.max(0, 12 * S - later)), "the window that is left: " + left);
        assertTrue(later <= 0 || left <= 12 * S);
    }
}
