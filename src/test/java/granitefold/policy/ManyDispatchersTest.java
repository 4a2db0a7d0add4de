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

/** What changes where dispatchers are many: subsets, owners of cold workers, messages. */
class ManyDispatchersTest {
    private static final int WORKERS = 60;

    private static List<TestBed> fleet(int dispatchers, int workers, boolean cold) {
        List<TestBed> all = new ArrayList<>();
        for (int me = 0; me < dispatchers; me++) {
            TestBed bed = TestBed.inFleet(me, dispatchers);
            all.add(bed.updateList(ListUpdate.WHOLE, workers(bed, workers, cold)));
        }
        return all;
    }

    private static Worker[] workers(TestBed bed, int count, boolean cold) {
        Worker[] listed = new Worker[count];
        for (int i = 0; i < count; i++) {
            listed[i] = new Worker(1000 + 7 * i, 1, State.READY, cold ? bed.now - 1 : 0, 0, 0, 0);
        }
        return listed;
    }

    /** Workers that one of so many dispatchers prefers. */
    private static int subset(int dispatchers) {
        return (int) Math.max(Subset.MIN_SUBSET_SIZE, Math.ceil(Subset.DISPATCHERS_PER_WORKER * WORKERS / dispatchers));
    }

    /** Workers that a dispatcher uses while nothing is wrong. */
    private static Set<Long> used(TestBed bed, int jobs) {
        for (int i = 0; i < jobs; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, i % 2, 20, 9_000), 0, Outcome.SERVED);
        }
        return new HashSet<>(bed.sendTargets);
    }

    @Test
    void manyDispatchersUseFewWorkersEachAndEveryWorkerIsUsedByAsMany() {
        int[] users = new int[WORKERS];
        for (TestBed bed : fleet(140, WORKERS, false)) {
            Set<Long> used = used(bed, 200);
            assertTrue(used.size() <= subset(140), "used " + used.size());
            used.forEach(id -> users[(int) (id - 1000) / 7]++);
        }
        for (int n : users) {
            assertTrue(n >= 14 && n <= 17, "140 x 7 / 60 = 16.3 less repeats, but " + n);
        }
    }

    @Test
    void fewDispatchersUseTheWholeFleet() {
        for (TestBed bed : fleet(3, 12, false)) {
            assertEquals(12, used(bed, 400).size());
        }
    }

    @Test
    void aRequestJudgesAsManyWorkersWhateverTheNumberOfDispatchers() {
        for (int dispatchers : new int[] {100, 140, 300}) {
            TestBed bed = fleet(dispatchers, WORKERS, false).get(0);
            for (int i = 0; i < 50; i++) {
                bed.request(TestBed.SAFE, i % 2, 1, 9_000);
                assertTrue(bed.policy.state.candidates.size() <= subset(dispatchers), "judged " + bed.policy.state.candidates.size());
            }
        }
    }

    /** With 100 dispatchers none sees a worker's slots at once: after some jobs each fell back to one, and rejected all else. */
    @Test
    void slotsThatQuotasNeedStandForAsLongAsJobsAreFewEach() {
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
        assertEquals(240, bed.sendTargets.size(), "10 jobs of 30 s a second need 5 slots on each of 60, of which 3.9 still count: 4");
    }

    /** Nobody tells us of workers outside the subset: those stood for empty, and one job in five went into their queues. */
    @Test
    void aBusySubsetIsNotLeftForWorkersThatNobodyTellsOf() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            // one of them makes a worker wait past the strain's bound, and a second one is not hopeless yet
            bed.request(TestBed.UNSAFE, i % 2, 550, 9_000);
        }
        assertTrue(bed.sendTargets.size() > subset(100), "all of it is busy");
        assertEquals(subset(100), new HashSet<>(bed.sendTargets).size());
    }

    /** While siblings are cut off, all took the workers for empty, and queues grew to 4 s; own jobs' waits show them. */
    @Test
    void whatSiblingsDoNotTellShowsInHowLateOwnJobsStart() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 3; i++) {
            bed.request(TestBed.SAFE, i % 2, 100, 9_000);
        }
        bed.advance(3_000);
        long refused = bed.countActions("refuse");
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 1, bed.countActions("refuse"), "those out wait for 3 s, another would wait as long");
        for (int i = 0; i < 3; i++) {
            bed.policy.started(bed.now, 1 + i, 0);
            bed.endAttempt(1 + i, 0, Outcome.SERVED);
        }
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, bed.countActions("refuse"), "nor is it forgotten at once");
        bed.advance(5_000);
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, bed.countActions("refuse"), "somebody has to try");
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
     * Where siblings may never speak waits are the rule, with idle workers beside: half of all jobs were refused for them, each of
     * which would have been worth half its worth or all of it.
     */
    @Test
    void lateStartsRefuseNobodyWhereSiblingsMayNotSpeakAndLateCounts() {
        assertEquals(0, refusedAfterLateStarts(0.5));
        assertEquals(1, refusedAfterLateStarts(0), "what is late is worth nothing: it is kept out");
    }

    /** A dispatcher of many sees few fetches; it held to a first guess of 0.3 s for ten seconds. */
    @Test
    void fetchTimesAreLearnedFromFewJobsWhereOthersShareTheWorkers() {
        TestBed bed = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 100, 9_000, 1 + i);
            bed.policy.started(bed.now, id, 0);
            bed.advance(100);
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        assertTrue(bed.policy.learned(bed.now).fetchUs() < 100_000, "no job of 20 had to fetch");
    }

    @Test
    void subsetThatRefusesIsLeft() {
        TestBed bed = fleet(140, WORKERS, false).get(0);
        for (int i = 0; i < 12; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 20, 9_000);
            bed.endAttempt(id, 0, Outcome.FULL);
            bed.endAttempt(id, 1, Outcome.SERVED);
        }
        assertTrue(new HashSet<>(bed.sendTargets).size() > subset(140));
    }

    @Test
    void coldFleetGetsWorkFromItsOwnersAndNeverMoreThanTheRuleAllows() {
        for (int dispatchers : new int[] {1, 3, 20, 140}) {
            int workers = 2;
            double[] sent = new double[workers];
            for (TestBed bed : fleet(dispatchers, workers, true)) {
                for (int i = 0; i < 40; i++) {
                    bed.request(TestBed.SAFE, i % 2, 50, 9_000);
                }
                bed.sendTargets.forEach(id -> sent[(int) (id - 1000) / 7] += 0.05);
            }
            // 10 jobs a second of 50 ms over two workers: 0.25 a second each, a quarter of it cold, fourfold
            double most = 4 * 0.25 * 10 * 0.05 / workers + 1e-9;
            int served = 0;
            for (double s : sent) {
                assertTrue(s <= most, dispatchers + " dispatchers sent " + s);
                served += s > 0 ? 1 : 0;
            }
            assertEquals(workers, served, "none is left without work");
        }
    }

    @Test
    void ownersOfAColdWorkerAreFewAndGrowWithItsWarmth() {
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
    void countsReachTheRestAndBytesStayWithinWhatRequestsEarn() {
        int many = 150;
        List<TestBed> all = fleet(many, WORKERS, false);
        Random chance = new Random(5);
        int jobs = 20;
        for (int second = 0; second < jobs; second++) {
            for (int me = 0; me < many; me++) {
                TestBed bed = all.get(me);
                bed.endAttempt(bed.request(TestBed.SAFE, 0, 20, 9_000), 0, Outcome.SERVED);
                bed.advance(1_000);
                for (int i = 0; i < bed.messages.size(); i++) {
                    TestBed to = all.get(bed.recipients.get(i));
                    if (chance.nextInt(10) > 0) {
                        to.policy.messageReceived(to.now, me, bed.messages.get(i));
                    }
                }
                assertTrue(bed.messages.size() > 0, "never silent");
                bed.messages.clear();
                bed.recipients.clear();
            }
        }
        double least = 1;
        double sum = 0;
        for (TestBed bed : all) {
            double part = (double) bed.policy.state.buckets.get(0).totalUsed / (many * jobs);
            least = Math.min(least, part);
            sum += part / many;
        }
        assertTrue(sum > STATED_MEAN && least > STATED_LEAST, "known of all use: mean " + sum + ", least " + least);
    }

    /** With a tenth of the messages lost, a dispatcher knows at least so much of the fleet's use of a tenant. */
    private static final double STATED_MEAN = 0.45, STATED_LEAST = 0.3;

    /**
     * One connection gone silent made all workers of all classes hopeless: its lateness grew without bound, counted as work
     * that siblings did not tell of, and who then sent nothing had no start to learn from.
     */
    @Test
    void aSilentTryIsNoQueue() {
        TestBed bed = TestBed.inFleet(0, 2).withThreeWorkers();
        long silent = bed.request(TestBed.SAFE, 0, 100, 9_000);
        long worker = bed.lastWorker();
        for (int i = 0; i < 40; i++) {
            long id = bed.request(TestBed.SAFE, 1, 100, 9_000);
            long other = bed.request(TestBed.SAFE, 0, 100, 9_000);
            assertEquals(0, bed.countActions("refuse"), "nothing but the silence of request " + silent + " is known");
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
        assertTrue(bed.sendTargets.lastIndexOf(worker) > 0, "its worker is tried again");
    }

    /** A later send to the same worker that has started shows at once that the first is not waiting. */
    @Test
    void whatWasOvertakenTellsOfNoQueue() {
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

    /** Without such a sign lateness tells of work that nobody told us of. */
    @Test
    void whatWaitsUnheardTellsOfAQueue() {
        TestBed bed = TestBed.inFleet(0, 2).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.advance(650);
        bed.request(TestBed.SAFE, 1, 100, 9_000);
        assertEquals(1, bed.countActions("refuse"));
    }
}
