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

/** Checks rise and fall of probes, their limits, panic mode and ejection. */
class WorkerHealthTrackerTest {
    private static final HealthSettings SETTINGS = new HealthSettings(true, 1_000_000, 0.2, 500_000, 2, 3, 4, 0.5, true, 3,
            10_000_000, 60_000_000, 0.1);

    private static List<Long> workers(int count) {
        return LongStream.range(0, count).boxed().toList();
    }

    private static WorkerHealthTracker tracker(int count) {
        WorkerHealthTracker tracker = new WorkerHealthTracker(SETTINGS, 1);
        assertTrue(tracker.updateWorkers(workers(count), 0).isEmpty());
        return tracker;
    }

    /** Runs a period in which the given workers do not answer probes; returns the changes in order. */
    private static List<Change> run(WorkerHealthTracker tracker, long from, long until, List<Long> deadWorkers) {
        List<Change> changes = new ArrayList<>();
        for (long now = from; now < until; now += 10_000) {
            for (long id : tracker.takeDueProbes(now)) {
                changes.addAll(tracker.onProbeResult(id, !deadWorkers.contains(id), "no answer", now));
            }
            changes.addAll(tracker.expireEjections(now));
        }
        return changes;
    }

    @Test
    void deadWorkerIsRemovedAndReturnsAsNewlyStarted() {
        WorkerHealthTracker tracker = tracker(5);
        List<Change> removed = run(tracker, 0, 8_000_000, List.of(2L));
        assertEquals(List.of(new Change(2, false, 0, Health.DOWN, "no answer")), removed);
        List<Change> returned = run(tracker, 8_000_000, 16_000_000, List.of());
        assertEquals(1, returned.size());
        assertTrue(returned.get(0).usable() && returned.get(0).recoveredAt() >= 8_000_000);
    }

    @Test
    void panicModeUsesAllWorkersWhenMostLookDead() {
        WorkerHealthTracker tracker = tracker(5);
        run(tracker, 0, 10_000_000, List.of(0L, 1L, 2L));
        assertTrue(tracker.inPanicMode());
        // In panic mode all workers are used, but none is reported as recovered.
        Map<Long, Change> last = new HashMap<>();
        run(tracker, 10_000_000, 10_000_001, List.of()).forEach(c -> last.put(c.worker(), c));
        assertEquals(3, tracker.unhealthyCount());
        assertFalse(run(tracker, 10_000_000, 20_000_000, List.of(0L, 1L)).isEmpty(), "panic mode ends");
        assertFalse(tracker.inPanicMode());
    }

    @Test
    void probesAreSpreadAndLimited() {
        WorkerHealthTracker tracker = new WorkerHealthTracker(SETTINGS, 3);
        tracker.updateWorkers(workers(1000), 0);
        assertTrue(tracker.takeDueProbes(10_000_000).size() <= SETTINGS.maxConcurrentProbes());
        WorkerHealthTracker spread = new WorkerHealthTracker(new HealthSettings(true, 1_000_000, 0.2, 500_000, 2, 3, 1000, 0.5, true,
                0, 1, 1, 0.1), 3);
        spread.updateWorkers(workers(1000), 0);
        int first = spread.takeDueProbes(100_000).size();
        assertTrue(first > 50 && first < 160, "a tenth of the interval starts about a tenth of the probes: " + first);
    }

    @Test
    void consecutiveFailuresEjectForGrowingTimesUpToAShare() {
        WorkerHealthTracker tracker = tracker(20);
        assertTrue(tracker.onAttemptOutcome(1, Outcome.BROKEN, 0).isEmpty());
        tracker.onAttemptOutcome(1, Outcome.UNREACHABLE, 0);
        tracker.onAttemptOutcome(1, Outcome.FULL, 0);
        tracker.onAttemptOutcome(1, Outcome.TIMED_OUT, 0);
        assertTrue(tracker.onAttemptOutcome(1, Outcome.BROKEN, 0).isEmpty(), "a refused job shows that the worker is alive");
        assertEquals(Health.EJECTED, tracker.onAttemptOutcome(1, Outcome.BROKEN, 0).get(0).health());
        for (long worker = 2; worker < 20; worker++) {
            for (int i = 0; i < 3; i++) {
                tracker.onAttemptOutcome(worker, Outcome.BROKEN, 0);
            }
        }
        assertEquals(2, tracker.unhealthyCount(), "at most a tenth of twenty workers is ejected");
        assertTrue(tracker.expireEjections(SETTINGS.ejectUs() - 1).isEmpty());
        assertEquals(2, tracker.expireEjections(SETTINGS.ejectUs()).size());
        long now = SETTINGS.ejectUs();
        for (int i = 0; i < 3; i++) {
            tracker.onAttemptOutcome(1, Outcome.BROKEN, now);
        }
        assertTrue(tracker.expireEjections(now + 2 * SETTINGS.ejectUs() - 1).isEmpty(), "the second ejection lasts twice as long");
        assertEquals(1, tracker.expireEjections(now + 2 * SETTINGS.ejectUs()).size());
    }

    @Test
    void theOnlyWorkerIsNeverEjected() {
        WorkerHealthTracker tracker = tracker(1);
        for (int i = 0; i < 10; i++) {
            assertTrue(tracker.onAttemptOutcome(0, Outcome.BROKEN, i).isEmpty());
        }
    }

    /** Under random events, only real changes are reported, and the limits of probes and of unusable workers hold. */
    @Property(tries = 300)
    void reportedChangesAreConsistent(@ForAll @Size(max = 200) List<@IntRange(max = 9_999) Integer> events) {
        WorkerHealthTracker tracker = new WorkerHealthTracker(SETTINGS, 5);
        List<Long> ready = workers(6);
        tracker.updateWorkers(ready, 0);
        Map<Long, Boolean> reported = new HashMap<>();
        List<Long> probesInFlight = new ArrayList<>();
        long now = 0;
        for (int event : events) {
            now += event * 100L;
            long worker = event % 6;
            List<Change> changes = List.of();
            switch (event / 10 % 5) {
                case 0 -> probesInFlight.addAll(tracker.takeDueProbes(now));
                case 1 -> {
                    if (probesInFlight.remove((Long) worker)) {
                        changes = tracker.onProbeResult(worker, event % 3 > 0, "x", now);
                    }
                }
                case 2 -> changes = tracker.onAttemptOutcome(worker, Outcome.values()[event % Outcome.values().length], now);
                case 3 -> changes = tracker.expireEjections(now);
                default -> {
                    ready = workers(3 + event % 4);
                    changes = tracker.updateWorkers(ready, now);
                    List<Long> listed = ready;
                    probesInFlight.removeIf(p -> !listed.contains(p));
                    reported.keySet().retainAll(ready);
                }
            }
            for (Change c : changes) {
                assertTrue(reported.getOrDefault(c.worker(), true) != c.usable(), "only changes are reported: " + c);
                reported.put(c.worker(), c.usable());
            }
            assertTrue(probesInFlight.size() <= SETTINGS.maxConcurrentProbes());
            long usable = ready.stream().filter(p -> reported.getOrDefault(p, true)).count();
            assertTrue(usable * 2 >= ready.size(), "at least half of the workers are used");
            assertTrue(tracker.nextWakeUpAt(now) >= now);
        }
    }
}
