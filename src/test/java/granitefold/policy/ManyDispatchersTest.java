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

    private static List<Bench> fleet(int dispatchers, int workers, boolean cold) {
        List<Bench> all = new ArrayList<>();
        for (int me = 0; me < dispatchers; me++) {
            Bench b = Bench.numbered(me, dispatchers);
            all.add(b.list(ListUpdate.WHOLE, workers(b, workers, cold)));
        }
        return all;
    }

    private static Worker[] workers(Bench b, int count, boolean cold) {
        Worker[] listed = new Worker[count];
        for (int i = 0; i < count; i++) {
            listed[i] = new Worker(1000 + 7 * i, 1, State.READY, cold ? b.now - 1 : 0, 0, 0, 0);
        }
        return listed;
    }

    /** Workers that one of so many dispatchers prefers. */
    private static int subset(int dispatchers) {
        return (int) Math.max(Subset.SUBSET_LEAST, Math.ceil(Subset.SHARERS * WORKERS / dispatchers));
    }

    /** Workers that a dispatcher uses while nothing is wrong. */
    private static Set<Long> used(Bench b, int jobs) {
        for (int i = 0; i < jobs; i++) {
            b.end(b.request(Bench.SAFE, i % 2, 20, 9_000), 0, Outcome.SERVED);
        }
        return new HashSet<>(b.sentTo);
    }

    @Test
    void manyDispatchersUseFewWorkersEachAndEveryWorkerIsUsedByAsMany() {
        int[] users = new int[WORKERS];
        for (Bench b : fleet(140, WORKERS, false)) {
            Set<Long> used = used(b, 200);
            assertTrue(used.size() <= subset(140), "used " + used.size());
            used.forEach(id -> users[(int) (id - 1000) / 7]++);
        }
        for (int n : users) {
            assertTrue(n >= 14 && n <= 17, "140 x 7 / 60 = 16.3 less repeats, but " + n);
        }
    }

    @Test
    void fewDispatchersUseTheWholeFleet() {
        for (Bench b : fleet(3, 12, false)) {
            assertEquals(12, used(b, 400).size());
        }
    }

    @Test
    void aRequestJudgesAsManyWorkersWhateverTheNumberOfDispatchers() {
        for (int dispatchers : new int[] {100, 140, 300}) {
            Bench b = fleet(dispatchers, WORKERS, false).get(0);
            for (int i = 0; i < 50; i++) {
                b.request(Bench.SAFE, i % 2, 1, 9_000);
                assertTrue(b.module.k.reach.size() <= subset(dispatchers), "judged " + b.module.k.reach.size());
            }
        }
    }

    /** With 100 dispatchers none sees a worker's slots at once: after some jobs each fell back to one, and rejected all else. */
    @Test
    void slotsThatQuotasNeedStandForAsLongAsJobsAreFewEach() {
        Bench b = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 200; i++) {
            long id = b.request(Bench.SAFE, i % 2, 30_000, 300_000);
            b.module.started(b.now, id, 0);
            b.pass(30_000);
            b.end(id, 0, Outcome.SERVED);
        }
        for (int i = 0; i < 40; i++) {
            b.request(Bench.SAFE, i % 2, 30_000, 300_000);
        }
        assertEquals(240, b.sentTo.size(), "10 jobs of 30 s a second need 5 slots on each of 60, of which 3.9 still count: 4");
    }

    /** Nobody tells us of workers outside the subset: those stood for empty, and one job in five went into their queues. */
    @Test
    void aBusySubsetIsNotLeftForWorkersThatNobodyTellsOf() {
        Bench b = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            // one of them makes a worker wait past the strain's bound, and a second one is not hopeless yet
            b.request(Bench.UNSAFE, i % 2, 550, 9_000);
        }
        assertTrue(b.sentTo.size() > subset(100), "all of it is busy");
        assertEquals(subset(100), new HashSet<>(b.sentTo).size());
    }

    /** While siblings are cut off, all took the workers for empty, and queues grew to 4 s; own jobs' waits show them. */
    @Test
    void whatSiblingsDoNotTellShowsInHowLateOwnJobsStart() {
        Bench b = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 3; i++) {
            b.request(Bench.SAFE, i % 2, 100, 9_000);
        }
        b.pass(3_000);
        long refused = b.count("refuse");
        b.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(refused + 1, b.count("refuse"), "those out wait for 3 s, another would wait as long");
        for (int i = 0; i < 3; i++) {
            b.module.started(b.now, 1 + i, 0);
            b.end(1 + i, 0, Outcome.SERVED);
        }
        b.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, b.count("refuse"), "nor is it forgotten at once");
        b.pass(5_000);
        b.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(refused + 2, b.count("refuse"), "somebody has to try");
    }

    private static long refusedAfterLateStarts(double lateWorth) {
        Bench b = Bench.mute(lateWorth);
        b.list(ListUpdate.WHOLE, workers(b, 12, false));
        for (int i = 0; i < 3; i++) {
            b.request(Bench.SAFE, i % 2, 100, 9_000);
        }
        b.pass(3_000);
        for (int i = 0; i < 3; i++) {
            b.module.started(b.now, 1 + i, 0);
            b.end(1 + i, 0, Outcome.SERVED);
        }
        b.request(Bench.SAFE, 0, 100, 9_000);
        return b.count("refuse");
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
        Bench b = fleet(100, WORKERS, false).get(0);
        for (int i = 0; i < 20; i++) {
            long id = b.request(Bench.SAFE, i % 2, 100, 9_000, 1 + i);
            b.module.started(b.now, id, 0);
            b.pass(100);
            b.end(id, 0, Outcome.SERVED);
        }
        assertTrue(b.module.learned(b.now).fetchUs() < 100_000, "no job of 20 had to fetch");
    }

    @Test
    void subsetThatRefusesIsLeft() {
        Bench b = fleet(140, WORKERS, false).get(0);
        for (int i = 0; i < 12; i++) {
            long id = b.request(Bench.SAFE, i % 2, 20, 9_000);
            b.end(id, 0, Outcome.FULL);
            b.end(id, 1, Outcome.SERVED);
        }
        assertTrue(new HashSet<>(b.sentTo).size() > subset(140));
    }

    @Test
    void coldFleetGetsWorkFromItsOwnersAndNeverMoreThanTheRuleAllows() {
        for (int dispatchers : new int[] {1, 3, 20, 140}) {
            int workers = 2;
            double[] sent = new double[workers];
            for (Bench b : fleet(dispatchers, workers, true)) {
                for (int i = 0; i < 40; i++) {
                    b.request(Bench.SAFE, i % 2, 50, 9_000);
                }
                b.sentTo.forEach(id -> sent[(int) (id - 1000) / 7] += 0.05);
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
        List<Bench> all = fleet(140, 1, true);
        for (int round = 0; round < 2; round++) {
            for (Bench b : all) {
                b.sentTo.clear();
                b.request(Bench.SAFE, 0, 20, 300);
                b.request(Bench.SAFE, 1, 20, 300);
                owners[round] += b.sentTo.isEmpty() ? 0 : 1;
                b.pass(8_000);
            }
        }
        assertTrue(owners[0] > 0 && owners[0] <= 7, "at first " + owners[0]);
        assertTrue(owners[1] > owners[0] && owners[1] <= 28, "after 8 of 10 s " + owners[1]);
    }

    @Test
    void countsReachTheRestAndBytesStayWithinWhatRequestsEarn() {
        int many = 150;
        List<Bench> all = fleet(many, WORKERS, false);
        Random chance = new Random(5);
        int jobs = 20;
        for (int second = 0; second < jobs; second++) {
            for (int me = 0; me < many; me++) {
                Bench b = all.get(me);
                b.end(b.request(Bench.SAFE, 0, 20, 9_000), 0, Outcome.SERVED);
                b.pass(1_000);
                for (int i = 0; i < b.told.size(); i++) {
                    Bench to = all.get(b.toldTo.get(i));
                    if (chance.nextInt(10) > 0) {
                        to.module.messageReceived(to.now, me, b.told.get(i));
                    }
                }
                assertTrue(b.told.size() > 0, "never silent");
                b.told.clear();
                b.toldTo.clear();
            }
        }
        double least = 1;
        double sum = 0;
        for (Bench b : all) {
            double part = (double) b.module.k.buckets.get(0).total / (many * jobs);
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
        Bench b = Bench.numbered(0, 2).three();
        long silent = b.request(Bench.SAFE, 0, 100, 9_000);
        long worker = b.lastWorker();
        for (int i = 0; i < 40; i++) {
            long id = b.request(Bench.SAFE, 1, 100, 9_000);
            long other = b.request(Bench.SAFE, 0, 100, 9_000);
            assertEquals(0, b.count("refuse"), "nothing but the silence of request " + silent + " is known");
            b.module.started(b.now, id, 0);
            b.module.started(b.now, other, 0);
            b.pass(100);
            b.end(id, 0, Outcome.SERVED);
            b.end(other, 0, Outcome.SERVED);
        }
        b.pass(4_000);
        for (int i = 0; i < 3; i++) {
            b.request(Bench.SAFE, 1, 100, 9_000);
        }
        assertEquals(0, b.count("refuse"));
        assertTrue(b.sentTo.lastIndexOf(worker) > 0, "its worker is tried again");
    }

    /** A later send to the same worker that has started shows at once that the first is not waiting. */
    @Test
    void whatWasOvertakenTellsOfNoQueue() {
        Bench b = Bench.numbered(0, 2).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        b.request(Bench.SAFE, 0, 100, 9_000);
        b.pass(100);
        long next = b.request(Bench.SAFE, 0, 100, 9_000);
        b.module.started(b.now, next, 0);
        b.pass(100);
        b.end(next, 0, Outcome.SERVED);
        b.pass(400);
        b.request(Bench.SAFE, 1, 100, 9_000);
        assertEquals(0, b.count("refuse"));
    }

    /** Without such a sign lateness tells of work that nobody told us of. */
    @Test
    void whatWaitsUnheardTellsOfAQueue() {
        Bench b = Bench.numbered(0, 2).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        b.request(Bench.SAFE, 0, 100, 9_000);
        b.pass(650);
        b.request(Bench.SAFE, 1, 100, 9_000);
        assertEquals(1, b.count("refuse"));
    }
}
