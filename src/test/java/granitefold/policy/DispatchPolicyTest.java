package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Request;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The ordinary path and its exceptions. */
class DispatchPolicyTest {

    @Test
    void picksTheWorkerWithTheLeastQueuedWork() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        bed.request(TestBed.SAFE, 0, 1_000, 9_000);
        long heavy = bed.lastWorker();
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertNotEquals(heavy, bed.lastWorker());
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertNotEquals(heavy, bed.lastWorker());
    }

    /** Fetches took whole days down: a busy store made every job late, and none of them came back. */
    @Test
    void aJobGoesWhereItsKeyIsKeptUnlessThatWorkerIsFarBusier() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        long[] homes = new long[4];
        for (int i = 0; i < 40; i++) {
            long id = bed.request(TestBed.SAFE, 0, 20, 9_000, 1 + i % 4);
            homes[i % 4] = i < 4 ? bed.lastWorker() : homes[i % 4];
            assertEquals(homes[i % 4], bed.lastWorker(), "key " + (1 + i % 4));
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        while (bed.lastWorker() == homes[0]) {
            bed.request(TestBed.SAFE, 1, 400, 9_000, 1);
            assertTrue(bed.actions.size() < 60, "all piled up on one worker");
        }
    }

    /** What can no longer be of use is told so at once; it was held until its client's deadline. */
    @Test
    void aJobThatNoWorkerTakesIsHeldOnlyWhileItIsOfUse() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.updateList(ListUpdate.WHOLE);
        bed.endAttempt(id, 0, Outcome.FULL);
        assertEquals(0, bed.countActions("refuse"), "a worker may come back in time");
        bed.advance(1_000);
        assertEquals(1, bed.countActions("refuse"), "its aim and some room are past, its deadline is not");
    }

    /** Nobody waits for it any more. */
    @Test
    void aTryIsCancelledWhenItsClientLeaves() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.policy.expired(bed.now, id);
        assertEquals(1, bed.countActions("cancel"));
    }

    @Test
    void refusingOrErringWorkersArePassedOverUnlessAllAre() {
        for (Outcome why : List.of(Outcome.FULL, Outcome.UNREACHABLE, Outcome.ERROR)) {
            TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
            long id = bed.request(TestBed.SAFE, 0, 10, 9_000);
            long full = bed.lastWorker();
            bed.endAttempt(id, 0, why);
            assertNotEquals(full, bed.lastWorker());
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertNotEquals(full, bed.lastWorker(), "although it holds nothing");
            bed.endAttempt(id, 1, why);
            assertEquals(4, bed.sendTargets.size(), "both were full: the least is taken all the same");
        }
    }

    @Test
    void oldJobsServedDoNotEndTheirWorkersBeingPassedOver() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long old = bed.request(TestBed.SAFE, 0, 10, 9_000);
        bed.advance(1);
        long refused = bed.request(TestBed.SAFE, 0, 10, 9_000);
        bed.updateList(ListUpdate.CHANGES, TestBed.worker(11, 0, 0));
        bed.endAttempt(refused, 0, Outcome.FULL);
        bed.endAttempt(old, 0, Outcome.SERVED);
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertEquals(11, bed.lastWorker());
    }

    @Test
    void silentWorkersJobsAreCopiedAndTheLoserCancelled() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0),
                TestBed.worker(12, 0, 0), TestBed.worker(13, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        long first = bed.lastWorker();
        bed.advance(3_000);
        assertEquals(2, bed.sendTargets.size());
        assertNotEquals(first, bed.lastWorker());
        bed.endAttempt(id, 1, Outcome.SERVED);
        assertEquals(1, bed.countActions("cancel " + id + " 0"));
        TestBed unsafe = new TestBed(1, false).withThreeWorkers();
        unsafe.request(TestBed.UNSAFE, 0, 100, 9_000);
        unsafe.advance(3_000);
        assertEquals(1, unsafe.sendTargets.size());
    }

    @Test
    void watchIsAskedAtStartAndRenewedAfterFailureWithGrowingPauses() {
        TestBed bed = new TestBed(1, true);
        assertEquals(1, bed.countActions("watch"));
        long last = 0;
        for (int i = 0; i < 12; i++) {
            bed.updateList(ListUpdate.FAILED);
            long pause = bed.timers.get(bed.timers.size() - 1)[0] - bed.now;
            assertTrue(pause <= 5_000_000, "within half of the time to ask");
            last = pause;
            bed.advance(6_000);
            assertEquals(2 + i, bed.countActions("watch"));
        }
        assertTrue(last >= 3_000_000);
        bed.updateList(ListUpdate.CHANGES);
        bed.updateList(ListUpdate.FAILED);
        assertTrue(bed.timers.get(bed.timers.size() - 1)[0] - bed.now < 500_000, "short again after news");
    }

    @Test
    void useIsToldAtOnceCountsOnceAndIsNotToldAgain() {
        TestBed a = new TestBed(2, false).withThreeWorkers();
        long id = a.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(1, a.messages.size(), "with the word on the job, before any timer");
        a.endAttempt(id, 0, Outcome.SERVED);
        assertEquals(1, a.messages.size(), "that the job is done can wait for a round");
        a.advance(1_000);
        assertEquals(2, a.messages.size());
        a.advance(5_000);
        assertEquals(2, a.messages.size());
        TestBed bed = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 20; i++) {
            bed.policy.messageReceived(bed.now, 1, a.messages.get(0));
        }
        bed.endAttempt(bed.request(TestBed.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        bed.endAttempt(bed.request(TestBed.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        bed.advance(1_000);
        long relayed = 0;
        for (byte[] m : bed.messages) {
            long[] e = SiblingMessage.read(m, 2, 2);
            for (int i = 0; i < e.length; i += 4) {
                relayed += e[i] == 0 ? 1 : 0;
                assertTrue(e[i] != 0 || e[i + 1] == 0 && e[i + 2] == 1, "heard twenty times, counted once");
            }
        }
        assertEquals(1, relayed, "relayed once");
    }

    /** Of 14 dispatchers only 8 heard of a job: half of the sends went to workers that the sender knew nothing of. */
    @Test
    void allOfALargeFleetHearOfASendAtOnceAndOfRoomWithTheNext() {
        TestBed bed = TestBed.inFleet(0, 14);
        bed.updateList(ListUpdate.WHOLE, IntStream.range(0, 60).mapToObj(i -> TestBed.worker(10 + i, 0, 0))
                .toArray(Dispatcher.Worker[]::new));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(13, bed.recipients.stream().distinct().count());
        bed.endAttempt(id, 0, Outcome.SERVED);
        assertEquals(13, bed.messages.size(), "the room waits");
        bed.request(TestBed.SAFE, 1, 100, 9_000);
        assertEquals(26, bed.messages.size());
        long[] news = SiblingMessage.read(bed.messages.get(25), 2, 14);
        assertEquals(12, news.length, "a bucket, the room, the send");
        assertEquals(0, news[7], "no slot is held there any more");
        assertEquals(1, news[11]);
    }

    @Test
    void whatSiblingsHaveQueuedIsCounted() {
        TestBed a = new TestBed(2, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        a.request(TestBed.SAFE, 0, 1_000, 9_000);
        long busy = a.lastWorker();
        a.advance(150);
        for (long seed = 0; seed < 20; seed++) {
            TestBed bed = new TestBed(2, false, true, seed).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0),
                    TestBed.worker(11, 0, 0));
            bed.policy.messageReceived(bed.now, 1, a.messages.get(0));
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertNotEquals(busy, bed.lastWorker());
        }
    }

    @Test
    void ownZoneIsTakenAmongEquals() {
        for (long seed = 0; seed < 20; seed++) {
            TestBed bed = new TestBed(1, false, true, seed).updateList(ListUpdate.WHOLE, TestBed.worker(12, 1, 2),
                    TestBed.worker(10, 0, 0));
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertEquals(10, bed.lastWorker());
        }
    }

    @Test
    void restartedDispatcherCountsOnTopOfItsFormerLife() {
        TestBed former = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 9; i++) {
            former.endAttempt(former.request(TestBed.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        former.advance(300);
        TestBed now = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 4; i++) {
            now.endAttempt(now.request(TestBed.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        for (int i = 0; i < 2; i++) {
            // siblings hold the last count only; the ninth word carries it
            now.policy.messageReceived(now.now, 1, former.messages.get(8));
        }
        now.request(TestBed.SAFE, 0, 1, 9_000);
        long[] e = SiblingMessage.read(now.messages.get(now.messages.size() - 1), 2, 2);
        assertEquals(0, e[1]);
        assertEquals(14, e[2]);
    }

    @Test
    void hostileMessagesAreDroppedWhole() {
        TestBed a = new TestBed(2, false).withThreeWorkers();
        a.request(TestBed.SAFE, 0, 100, 9_000);
        a.advance(200);
        byte[] good = a.messages.get(0);
        assertTrue(SiblingMessage.read(good, 2, 2).length > 0);
        assertNull(SiblingMessage.read(null, 2, 2));
        assertNull(SiblingMessage.read(new byte[300], 2, 2));
        for (int n = 0; n < good.length; n++) {
            assertNull(SiblingMessage.read(Arrays.copyOf(good, n), 2, 2), "cut to " + n);
        }
        assertNull(SiblingMessage.read(good, 0, 2), "a tenant we do not have");
        assertNull(SiblingMessage.read(good, 2, 0), "an owner we do not have");
        Random r = new Random(3);
        TestBed bed = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 2_000; i++) {
            byte[] m = new byte[r.nextInt(300)];
            r.nextBytes(m);
            bed.policy.messageReceived(bed.now, r.nextInt(5) - 1, m);
        }
        bed.policy.messageReceived(bed.now, 9, good);
        bed.advance(1_000);
        assertEquals(0, bed.messages.size(), "nothing changed, nothing to tell");
    }

    @Test
    void absurdHintsReportsAndStaleIdsDoNoHarm() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        for (double work : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY, 1e300}) {
            bed.policy.requested(bed.now, new Request(1000 + bed.actions.size(), TestBed.SAFE, 0, 9_000_000, work,
                    Integer.MAX_VALUE, -3, 0));
        }
        long id = bed.request(TestBed.SAFE, 1, 10, 9_000);
        bed.policy.ended(bed.now, id, 0, true, Outcome.SERVED, new Dispatcher.Report(1e300, -1, Double.NaN, -1, 0,
                1e300, -9));
        bed.endAttempt(id, 0, Outcome.SERVED);
        bed.endAttempt(id, 77, Outcome.SERVED);
        bed.policy.started(bed.now, 424242, 0);
        bed.policy.progressed(bed.now, 424242, -1, Double.NaN);
        bed.policy.expired(bed.now, 424242);
        bed.policy.elapsed(bed.now, 424242 * 4 + 3);
        int before = bed.actions.size();
        bed.request(TestBed.SAFE, 1, 10, 9_000);
        assertTrue(bed.actions.size() > before);
    }

    /** Counted at once, a start came on top of the job whose end made room for it, and waits seemed half as long. */
    @Test
    void aStartThatOvertakesAnEndAddsNoSlot() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 4; i++) {
            bed.policy.started(bed.now, bed.request(TestBed.SAFE, 0, 10, 9_000), 0);
        }
        long next = bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertEquals(0, bed.policy.state.candidates.get(0).slotsSeen);
        bed.advance(WaitEstimator.MAX_REORDER_US / 1000);
        bed.policy.started(bed.now, next, 0);
        assertEquals(4, bed.policy.state.candidates.get(0).slotsSeen);
    }

    @Test
    void sameEventsSameActions() {
        assertEquals(script(5), script(5));
        assertFalse(new HashSet<>(script(5)).isEmpty());
    }

    private static List<String> script(long seed) {
        TestBed bed = new TestBed(3, true, true, seed).withThreeWorkers();
        Random r = new Random(9);
        for (int i = 0; i < 300; i++) {
            long id = bed.request(r.nextInt(5), r.nextInt(2), 1 + r.nextInt(500), 9_000);
            bed.advance(r.nextInt(60));
            bed.endAttempt(id, 0, Outcome.values()[r.nextInt(Outcome.values().length)]);
        }
        return bed.actions;
    }

    /** A restart forgot the tenant's use and all speeds, under full load. */
    @Test
    void aFormerLifeIsTakenInAndCountsOnlyOnce() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        for (int i = 0; i < 30; i++) {
            long id = bed.request(TestBed.SAFE, 0, 40, 9_000, 1 + i % 3);
            bed.policy.started(bed.now, id, 0);
            bed.advance(20);
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        granitefold.recovery.LearnedState old = bed.policy.learned(bed.now);
        long used = old.buckets().get(0).used().get(0);
        assertEquals(30, used);
        assertTrue(old.workers().stream().anyMatch(p -> p.weight() > 0 && !p.kept().isEmpty()), old.toString());
        TestBed next = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        next.request(TestBed.SAFE, 0, 40, 9_000);
        next.policy.restore(next.now, old);
        granitefold.recovery.LearnedState now = next.policy.learned(next.now);
        assertEquals(used + 1, now.buckets().get(0).used().get(0), "this life's use comes on top");
        double credit = now.buckets().get(0).credited() - used - 1;
        assertTrue(credit <= 15, "no more than a bucket is granted: " + credit);
        for (granitefold.recovery.LearnedState.Worker p : old.workers()) {
            granitefold.recovery.LearnedState.Worker q = now.workers().stream().filter(x -> x.id() == p.id()).findFirst().orElseThrow();
            assertEquals(p.weight(), q.weight(), 1e-9);
            assertEquals(p.kept(), q.kept());
            assertTrue(q.slots() >= p.slots());
        }
        next.policy.restore(next.now, new granitefold.recovery.LearnedState(0, 0, 0, 0, 0, List.of(), List.of(), List.of(), List.of()));
        assertEquals(used + 1, next.policy.learned(next.now).buckets().get(0).used().get(0));
    }
}
