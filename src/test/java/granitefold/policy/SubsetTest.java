package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Subsets are the same on all dispatchers, however each of them came to know the workers. */
class SubsetTest {
    private static final int CHANGES = 400, MAX_WORKERS_PER_CHANGE = 3;

    private static Worker worker(long id, State state) {
        return new Worker(id, 1, state, 0, 0, 0, 0);
    }

    /** Who prefers each worker, as a dispatcher sees it: its own part first. */
    private static Map<Long, String> sharing(TestBed bed) {
        bed.request(TestBed.SAFE, 0, 1, 9_000);
        Map<Long, String> sharing = new TreeMap<>();
        bed.policy.state.workers.values().stream().filter(w -> w.state != State.GONE)
                .forEach(w -> sharing.put(w.id, w.inSubset + " " + w.sharingSiblings));
        return sharing;
    }

    @ParameterizedTest
    @CsvSource({"1, 20", "3, 12", "30, 400", "100, 7", "100, 60", "100, 1500"})
    void subsetAfterManySmallChangesIsThatOfADispatcherThatGetsTheWholeList(int dispatchers, int workers) {
        for (long seed = 1; seed <= 5; seed++) {
            Random random = new Random(seed);
            int self = random.nextInt(dispatchers);
            TestBed changed = TestBed.inFleet(self, dispatchers);
            Map<Long, Worker> listed = new TreeMap<>();
            for (long id = 0; id < workers; id++) {
                listed.put(id, worker(id, State.READY));
            }
            changed.updateList(ListUpdate.WHOLE, listed.values().toArray(Worker[]::new));
            for (int change = 0; change < CHANGES; change++) {
                List<Worker> entries = new ArrayList<>();
                for (int i = 1 + random.nextInt(MAX_WORKERS_PER_CHANGE); i > 0; i--) {
                    long id = random.nextInt(2 * workers);
                    Worker entry = worker(id, listed.containsKey(id) ? State.GONE : State.READY);
                    entries.add(entry);
                    if (listed.remove(id) == null) {
                        listed.put(id, entry);
                    }
                }
                changed.updateList(ListUpdate.CHANGES, entries.toArray(Worker[]::new));
                if (random.nextInt(10) == 0) {
                    changed.request(TestBed.SAFE, 0, 1, 9_000);
                }
            }
            TestBed fresh = TestBed.inFleet(self, dispatchers);
            fresh.updateList(ListUpdate.WHOLE, listed.values().toArray(Worker[]::new));
            assertEquals(sharing(fresh), sharing(changed), "seed " + seed);
        }
    }

    /** Guards against workers that are remembered for good where no request comes between the changes. */
    @ParameterizedTest
    @CsvSource({"1", "100"})
    void removedWorkersAreForgottenWithoutDecisions(int dispatchers) {
        TestBed bed = TestBed.inFleet(0, dispatchers);
        bed.updateList(ListUpdate.WHOLE, worker(0, State.READY));
        bed.request(TestBed.SAFE, 0, 1, 9_000);
        for (long id = 1; id <= 20_000; id++) {
            bed.updateList(ListUpdate.CHANGES, worker(id - 1, State.GONE), worker(id, State.READY));
        }
        assertTrue(bed.policy.state.workers.size() <= 2, bed.policy.state.workers.size() + " workers");
        assertTrue(bed.policy.state.removedWorkers.size() <= 2_000, bed.policy.state.removedWorkers.size() + " removed workers");
    }
}
