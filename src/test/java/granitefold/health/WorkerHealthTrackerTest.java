package granitefold.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher.Outcome;
import granitefold.health.WorkerHealthTracker.Change;
import granitefold.health.WorkerHealthTracker.Health;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Rise and fall, caps, panic and ejection. */
class WorkerHealthTrackerTest {
    private static final HealthSettings SET = new HealthSettings(true, 1_000_000, 0.2, 500_000, 2, 3, 4, 0.5, true, 3,
            10_000_000, 60_000_000, 0.1);

    private static List<Long> workers(int count) {
        return LongStream.range(0, count).boxed().toList();
    }

    private static WorkerHealthTracker board(int count) {
        WorkerHealthTracker b = new WorkerHealthTracker(SET, 1);
        assertTrue(b.updateWorkers(workers(count), 0).isEmpty());
        return b;
    }

    /** Runs a while in which these workers do not answer; returns what was changed, in order. */
    private static List<Change> run(WorkerHealthTracker b, long from, long until, List<Long> dead) {
        List<Change> all = new ArrayList<>();
        for (long now = from; now < until; now += 10_000) {
            for (long id : b.takeDueProbes(now)) {
                all.addAll(b.onProbeResult(id, !dead.contains(id), "no answer", now));
            }
            all.addAll(b.expireEjections(now));
        }
        return all;
    }

    @Test
    void aDeadWorkerIsTakenOutAfterItsFallAndComesBackAsJustStarted() {
        WorkerHealthTracker b = board(5);
        List<Change> out = run(b, 0, 8_000_000, List.of(2L));
        assertEquals(List.of(new Change(2, false, 0, Health.DOWN, "no answer")), out);
        List<Change> back = run(b, 8_000_000, 16_000_000, List.of());
        assertEquals(1, back.size());
        assertTrue(back.get(0).usable() && back.get(0).recoveredAt() >= 8_000_000);
    }

    @Test
    void whereMostLookDeadNoneIsTakenToBe() {
        WorkerHealthTracker b = board(5);
        run(b, 0, 10_000_000, List.of(0L, 1L, 2L));
        assertTrue(b.inPanicMode());
        // in a panic all are used, and none is told to have come back
        Map<Long, Change> last = new HashMap<>();
        run(b, 10_000_000, 10_000_001, List.of()).forEach(c -> last.put(c.worker(), c));
        assertEquals(3, b.unhealthyCount());
        assertFalse(run(b, 10_000_000, 20_000_000, List.of(0L, 1L)).isEmpty(), "the panic ends");
        assertFalse(b.inPanicMode());
    }

    @Test
    void probesAreSpreadAndCapped() {
        WorkerHealthTracker b = new WorkerHealthTracker(SET, 3);
        b.updateWorkers(workers(1000), 0);
        assertTrue(b.takeDueProbes(10_000_000).size() <= SET.maxConcurrentProbes());
        WorkerHealthTracker spread = new WorkerHealthTracker(new HealthSettings(true, 1_000_000, 0.2, 500_000, 2, 3, 1000, 0.5, true, 0, 1, 1,
                0.1), 3);
        spread.updateWorkers(workers(1000), 0);
        int first = spread.takeDueProbes(100_000).size();
        assertTrue(first > 50 && first < 160, "a tenth of the interval brings about a tenth of them: " + first);
    }

    @Test
    void attemptsThatFailInARowEjectForLongerEachTimeAndOnlySoMany() {
        WorkerHealthTracker b = board(20);
        assertTrue(b.onAttemptOutcome(1, Outcome.BROKEN, 0).isEmpty());
        b.onAttemptOutcome(1, Outcome.UNREACHABLE, 0);
        b.onAttemptOutcome(1, Outcome.FULL, 0);
        b.onAttemptOutcome(1, Outcome.TIMED_OUT, 0);
        assertTrue(b.onAttemptOutcome(1, Outcome.BROKEN, 0).isEmpty(), "being turned away shows that it is there");
        assertEquals(Health.EJECTED, b.onAttemptOutcome(1, Outcome.BROKEN, 0).get(0).health());
        for (long worker = 2; worker < 20; worker++) {
            for (int i = 0; i < 3; i++) {
                b.onAttemptOutcome(worker, Outcome.BROKEN, 0);
            }
        }
        assertEquals(2, b.unhealthyCount(), "a tenth of twenty");
        assertTrue(b.expireEjections(SET.ejectUs() - 1).isEmpty());
        assertEquals(2, b.expireEjections(SET.ejectUs()).size());
        long now = SET.ejectUs();
        for (int i = 0; i < 3; i++) {
            b.onAttemptOutcome(1, Outcome.BROKEN, now);
        }
        assertTrue(b.expireEjections(now + 2 * SET.ejectUs() - 1).isEmpty(), "the second lasts twice as long");
        assertEquals(1, b.expireEjections(now + 2 * SET.ejectUs()).size());
    }

    @Test
    void theOnlyWorkerIsNeverEjected() {
        WorkerHealthTracker b = board(1);
        for (int i = 0; i < 10; i++) {
            assertTrue(b.onAttemptOutcome(0, Outcome.BROKEN, i).isEmpty());
        }
    }

    /** Whatever comes in whatever order, what was told adds up, and no more probes are out than may be. */
    @Property(tries = 300)
    void whatWasToldAddsUp(@ForAll @Size(max = 200) List<@IntRange(max = 9_999) Integer> events) {
        WorkerHealthTracker b = new WorkerHealthTracker(SET, 5);
        List<Long> ready = workers(6);
        b.updateWorkers(ready, 0);
        Map<Long, Boolean> told = new HashMap<>();
        List<Long> out = new ArrayList<>();
        long now = 0;
        for (int e : events) {
            now += e * 100L;
            long worker = e % 6;
            List<Change> changes = List.of();
            switch (e / 10 % 5) {
                case 0 -> out.addAll(b.takeDueProbes(now));
                case 1 -> {
                    if (out.remove((Long) worker)) {
                        changes = b.onProbeResult(worker, e % 3 > 0, "x", now);
                    }
                }
                case 2 -> changes = b.onAttemptOutcome(worker, Outcome.values()[e % Outcome.values().length], now);
                case 3 -> changes = b.expireEjections(now);
                default -> {
                    ready = workers(3 + e % 4);
                    changes = b.updateWorkers(ready, now);
                    List<Long> left = ready;
                    out.removeIf(p -> !left.contains(p));
                    told.keySet().retainAll(ready);
                }
            }
            for (Change c : changes) {
                assertTrue(told.getOrDefault(c.worker(), true) != c.usable(), "only changes are told: " + c);
                told.put(c.worker(), c.usable());
            }
            assertTrue(out.size() <= SET.maxConcurrentProbes());
            long usable = ready.stream().filter(p -> told.getOrDefault(p, true)).count();
            assertTrue(usable * 2 >= ready.size(), "never less than half are used");
            assertTrue(b.nextWakeUpAt(now) >= now);
        }
    }
}
