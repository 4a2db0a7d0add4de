package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Behaviour of large fleets of dispatchers: subsets, owners of workers in slow start, messages. */
class ManyDispatchersTest {
    private static final int WORKERS = 60;

    private static List<TestBed> fleet(int dispatchers, int workers, boolean slowStart) {
        List<TestBed> all = new ArrayList<>();
        for (int index = 0; index < dispatchers; index++) {
            TestBed bed = TestBed.inFleet(index, dispatchers);
            all.add(bed.updateList(ListUpdate.WHOLE, workers(bed, workers, slowStart)));
        }
        return all;
    }

    private static Worker[] workers(TestBed bed, int count, boolean slowStart) {
        Worker[] listed = new Worker[count];
        for (int i = 0; i < count; i++) {
            listed[i] = new Worker(1000 + 7 * i, 1, State.READY, slowStart ? bed.now - 1 : 0, 0, 0, 0);
        }
        return listed;
    }

    /** Returns the size of the subset that one of this many dispatchers prefers. */
    private static int subsetSize(int dispatchers) {
        return (int) Math.max(Subset.MIN_SUBSET_SIZE, Math.ceil(Subset.DISPATCHERS_PER_WORKER * WORKERS / dispatchers));
    }

    /** Returns the workers that a dispatcher uses for a number of jobs that are all served. */
    private static Set<Long> usedWorkers(TestBed bed, int jobs) {
        for (int i = 0; i < jobs; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, i % 2, 20, 9_000), 0, Outcome.SERVED);
        }
        return new HashSet<>(bed.sendTargets);
    }

    @Test
    void manyDispatchersUseFewWorkersEachAndEveryWorkerHasEquallyManyUsers() {
        int[] users = new int[WORKERS];
        for (TestBed bed : fleet(140, WORKERS, false)) {
            Set<Long> used = usedWorkers(bed, 200);
            assertTrue(used.size() <= subsetSize(140), "used " + used.size());
            used.forEach(id -> users[(int) (id - 1000) / 7]++);
        }
        for (int count : users) {
            assertTrue(count >= 14 && count <= 17, "140 x 7 / 60 = 16.3 without repeats, but " + count);
        }
    }

    @Test
    void fewDispatchersUseTheWholeFleet() {
        for (TestBed bed : fleet(3, 12, false)) {
            assertEquals(12, usedWorkers(bed, 400).size());
        }
    }

    @Test
    void candidatesPerRequestAreBoundedBySubsetSize() {
        for (int dispatchers : new int[] {100, 140, 300}) {
            TestBed bed = fleet(dispatchers, WORKERS, false).get(0);
            for (int i = 0; i < 50; i++) {
                bed.request(TestBed.SAFE, i % 2, 1, 9_000);
                assertTrue(bed.policy.state.candidates.size() <= subsetSize(dispatchers), "candidates " + bed.policy.state.candidates.size());
            }
        }
    }

    /**
     * Of 100 dispatchers, none sees all of a worker's slots in use. After some jobs each assumed one slot per worker and
     * refused all further jobs.
     */
    @Test
    void slotsInferredFromQuotasRemainWhileEachDispatcherHasFewJobs() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 200; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 30_000, 300_000);
            bed.policy.started(bed.now, id, 0);
            bed.advance(30_000);
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        for (int i = 0; i < 40; i++) {
            bed.request(TestBed.SAFE, i % 2, 30_000, 300_000);
        }
        assertEquals(240, bed.sendTargets.size(), "10 jobs of 30 s per second need 5 slots on each of 60 workers, of which 3.9 are still assumed: 4");
    }

    /**
     * Nobody reports the load of workers outside the subset. They counted as idle, and one job in five was sent to their
     * queues.
     */
    @Test
    void aBusySubsetIsNotLeftForWorkersWithoutLoadReports() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            // one such job makes the wait on a worker exceed the overload bound; a second one can still be on time
            bed.request(TestBed.UNSAFE, i % 2, 550, 9_000);
        }
        assertTrue(bed.sendTargets.size() > subsetSize(100), "the whole subset is busy");
        assertEquals(subsetSize(100), new HashSet<>(bed.sendTargets).size());
    }

    /**
     * While siblings were cut off from each other, all took the workers for idle, and queues grew to 4 s. The waits of own
     * jobs reveal that load.
     */
    @Test
    void lateStartsRevealUnreportedLoad() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 3; i++) {
            bed.request(TestBed.SAFE, i % 2, 100, 9_000);
        }
        bed.advance(3_000);
        long refused = bed.countActions("refuse");
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 1, bed.countActions("refuse"), "the open attempts have waited for 3 s, another would wait as long");
        for (int i = 0; i < 3; i++) {
            bed.policy.started(bed.now, 1 + i, 0);
            bed.endAttempt(1 + i, 0, Outcome.SERVED);
        }
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, bed.countActions("refuse"), "the late starts still count");
        bed.advance(5_000);
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, bed.countActions("refuse"), "the late starts have faded: the dispatcher tries again");
    }

    private static long refusedAfterLateStarts(double lateWorth) {
        TestBed bed = TestBed.withoutMessages(lateWorth);
        bed.updateList(ListUpdate.WHOLE, workers(bed, 12, false));
        for (int i = 0; i < 3; i++) {
            bed.request(TestBed.SAFE, i % 2, 100, 9_000);
        }
        bed.advance(3_000);
        for (int i = 0; i < 3; i++) {
            bed.policy.started(bed.now, 1 + i, 0);
            bed.endAttempt(1 + i, 0, Outcome.SERVED);
        }
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        return bed.countActions("refuse");
    }

    /**
     * Where siblings may not exchange messages, long waits are normal although other workers are idle. Half of all jobs were
     * refused for them, each of which would have had half of its value or all of it.
     */
    @Test
    void lateStartsCauseNoRefusalsWithoutSiblingMessagesIfLateResultsCount() {
        assertEquals(0, refusedAfterLateStarts(0.5));
        assertEquals(1, refusedAfterLateStarts(0), "late results have no value: the job is refused");
    }

    /** One of many dispatchers sees few fetches. It kept the initial estimate of 0.3 s for ten seconds. */
    @Test
    void fetchTimesAreLearnedFromFewJobsIfWorkersAreShared() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 100, 9_000, 1 + i);
            bed.policy.started(bed.now, id, 0);
            bed.advance(100);
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        assertTrue(bed.policy.learned(bed.now).fetchUs() < 100_000, "none of 20 jobs had to fetch");
    }

    @Test
    void aRefusingSubsetIsLeft() {
        TestBed bed = fleet(140, WORKERS, false).get(0);
        for (int i = 0; i < 12; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 20, 9_000);
            bed.endAttempt(id, 0, Outcome.FULL);
            bed.endAttempt(id, 1, Outcome.SERVED);
        }
        assertTrue(new HashSet<>(bed.sendTargets).size() > subsetSize(140));
    }

    @Test
    void aFleetInSlowStartGetsWorkFromItsOwnersWithinTheBudget() {
        for (int dispatchers : new int[] {1, 3, 20, 140}) {
            int workers = 2;
            double[] sent = new double[workers];
            for (TestBed bed : fleet(dispatchers, workers, true)) {
                for (int i = 0; i < 40; i++) {
                    bed.request(TestBed.SAFE, i % 2, 50, 9_000);
                }
                bed.sendTargets.forEach(id -> sent[(int) (id - 1000) / 7] += 0.05);
            }
            // 10 jobs per second of 50 ms over two workers: 0.25 cores each, a quarter of it at the start, fourfold
            double maxWorkS = 4 * 0.25 * 10 * 0.05 / workers + 1e-9;
            int served = 0;
            for (double s : sent) {
                assertTrue(s <= maxWorkS, dispatchers + " dispatchers sent " + s);
                served += s > 0 ? 1 : 0;
            }
            assertEquals(workers, served, "no worker is left without work");
        }
    }

    @Test
    void ownersOfAWorkerInSlowStartAreFewAndGrowWithItsCapacity() {
        int[] owners = new int[2];
        List<TestBed> all = fleet(140, 1, true);
        for (int round = 0; round < 2; round++) {
            for (TestBed bed : all) {
                bed.sendTargets.clear();
                bed.request(TestBed.SAFE, 0, 20, 300);
                bed.request(TestBed.SAFE, 1, 20, 300);
                owners[round] += bed.sendTargets.isEmpty() ? 0 : 1;
                bed.advance(8_000);
            }
        }
        assertTrue(owners[0] > 0 && owners[0] <= 7, "at first " + owners[0]);
        assertTrue(owners[1] > owners[0] && owners[1] <= 28, "after 8 of 10 s " + owners[1]);
    }

    @Test
    void bucketUseReachesTheOtherDispatchersDespiteLostMessages() {
        int dispatchers = 150;
        List<TestBed> all = fleet(dispatchers, WORKERS, false);
        Random random = new Random(5);
        int jobs = 20;
        for (int second = 0; second < jobs; second++) {
            for (int index = 0; index < dispatchers; index++) {
                TestBed bed = all.get(index);
                bed.endAttempt(bed.request(TestBed.SAFE, 0, 20, 9_000), 0, Outcome.SERVED);
                bed.advance(1_000);
                for (int i = 0; i < bed.messages.size(); i++) {
                    TestBed to = all.get(bed.recipients.get(i));
                    if (random.nextInt(10) > 0) {
                        to.policy.messageReceived(to.now, index, bed.messages.get(i));
                    }
                }
                assertTrue(bed.messages.size() > 0, "no messages were sent");
                bed.messages.clear();
                bed.recipients.clear();
            }
        }
        double leastShare = 1;
        double meanShare = 0;
        for (TestBed bed : all) {
            double share = (double) bed.policy.state.buckets.get(0).totalUsed / (dispatchers * jobs);
            leastShare = Math.min(leastShare, share);
            meanShare += share / dispatchers;
        }
        assertTrue(meanShare > MIN_MEAN_SHARE && leastShare > MIN_LEAST_SHARE, "known of all use: mean " + meanShare + ", least " + leastShare);
    }

    /** Least share of the fleet's use of a tenant that dispatchers know with a tenth of the messages lost: on average, and for any one of them. */
    private static final double MIN_MEAN_SHARE = 0.45, MIN_LEAST_SHARE = 0.3;

    /**
     * One silent connection made all requests of all classes fail the deadline check. Its delay grew without bound and
     * counted as unreported load, and a dispatcher that then sent nothing had no start to correct it.
     */
    @Test
    void aSilentAttemptIsNoQueue() {
        TestBed bed = TestBed.inFleet(0, 2).withThreeWorkers();
        long silent = bed.request(TestBed.SAFE, 0, 100, 9_000);
        long worker = bed.lastWorker();
        for (int i = 0; i < 40; i++) {
            long id = bed.request(TestBed.SAFE, 1, 100, 9_000);
            long other = bed.request(TestBed.SAFE, 0, 100, 9_000);
            assertEquals(0, bed.countActions("refuse"), "only request " + silent + " is silent");
            bed.policy.started(bed.now, id, 0);
            bed.policy.started(bed.now, other, 0);
            bed.advance(100);
            bed.endAttempt(id, 0, Outcome.SERVED);
            bed.endAttempt(other, 0, Outcome.SERVED);
        }
        bed.advance(4_000);
        for (int i = 0; i < 3; i++) {
            bed.request(TestBed.SAFE, 1, 100, 9_000);
        }
        assertEquals(0, bed.countActions("refuse"));
        assertTrue(bed.sendTargets.lastIndexOf(worker) > 0, "its worker is used again");
    }

    /** If a later attempt on the same worker has started, the earlier one is not waiting in a queue. */
    @Test
    void anOvertakenAttemptIndicatesNoQueue() {
        TestBed bed = TestBed.inFleet(0, 2).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.advance(100);
        long next = bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.policy.started(bed.now, next, 0);
        bed.advance(100);
        bed.endAttempt(next, 0, Outcome.SERVED);
        bed.advance(400);
        bed.request(TestBed.SAFE, 1, 100, 9_000);
        assertEquals(0, bed.countActions("refuse"));
    }

    /** Without such a start, the delay indicates load that nobody reported. */
    @Test
    void aWaitingAttemptIndicatesAQueue() {
        TestBed bed = TestBed.inFleet(0, 2).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.advance(650);
        bed.request(TestBed.SAFE, 1, 100, 9_000);
        assertEquals(1, bed.countActions("refuse"));
    }
}
