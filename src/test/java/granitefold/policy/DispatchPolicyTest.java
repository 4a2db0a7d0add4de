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
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        b.request(Bench.SAFE, 0, 1_000, 9_000);
        long heavy = b.lastWorker();
        b.request(Bench.SAFE, 0, 10, 9_000);
        assertNotEquals(heavy, b.lastWorker());
        b.request(Bench.SAFE, 0, 10, 9_000);
        assertNotEquals(heavy, b.lastWorker());
    }

    /** Fetches took whole days down: a busy store made every job late, and none of them came back. */
    @Test
    void aJobGoesWhereItsKeyIsKeptUnlessThatWorkerIsFarBusier() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        long[] homes = new long[4];
        for (int i = 0; i < 40; i++) {
            long id = b.request(Bench.SAFE, 0, 20, 9_000, 1 + i % 4);
            homes[i % 4] = i < 4 ? b.lastWorker() : homes[i % 4];
            assertEquals(homes[i % 4], b.lastWorker(), "key " + (1 + i % 4));
            b.end(id, 0, Outcome.SERVED);
        }
        while (b.lastWorker() == homes[0]) {
            b.request(Bench.SAFE, 1, 400, 9_000, 1);
            assertTrue(b.log.size() < 60, "all piled up on one worker");
        }
    }

    /** What can no longer be of use is told so at once; it was held until its client's deadline. */
    @Test
    void aJobThatNoWorkerTakesIsHeldOnlyWhileItIsOfUse() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        long id = b.request(Bench.SAFE, 0, 100, 9_000);
        b.list(ListUpdate.WHOLE);
        b.end(id, 0, Outcome.FULL);
        assertEquals(0, b.count("refuse"), "a worker may come back in time");
        b.pass(1_000);
        assertEquals(1, b.count("refuse"), "its aim and some room are past, its deadline is not");
    }

    /** Nobody waits for it any more. */
    @Test
    void aTryIsCancelledWhenItsClientLeaves() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        long id = b.request(Bench.SAFE, 0, 100, 9_000);
        b.module.expired(b.now, id);
        assertEquals(1, b.count("cancel"));
    }

    @Test
    void refusingOrErringWorkersArePassedOverUnlessAllAre() {
        for (Outcome why : List.of(Outcome.FULL, Outcome.UNREACHABLE, Outcome.ERROR)) {
            Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
            long id = b.request(Bench.SAFE, 0, 10, 9_000);
            long full = b.lastWorker();
            b.end(id, 0, why);
            assertNotEquals(full, b.lastWorker());
            b.request(Bench.SAFE, 0, 10, 9_000);
            assertNotEquals(full, b.lastWorker(), "although it holds nothing");
            b.end(id, 1, why);
            assertEquals(4, b.sentTo.size(), "both were full: the least is taken all the same");
        }
    }

    @Test
    void oldJobsServedDoNotEndTheirWorkersBeingPassedOver() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        long old = b.request(Bench.SAFE, 0, 10, 9_000);
        b.pass(1);
        long refused = b.request(Bench.SAFE, 0, 10, 9_000);
        b.list(ListUpdate.CHANGES, Bench.worker(11, 0, 0));
        b.end(refused, 0, Outcome.FULL);
        b.end(old, 0, Outcome.SERVED);
        b.request(Bench.SAFE, 0, 10, 9_000);
        assertEquals(11, b.lastWorker());
    }

    @Test
    void silentWorkersJobsAreCopiedAndTheLoserCancelled() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0),
                Bench.worker(12, 0, 0), Bench.worker(13, 0, 0));
        long id = b.request(Bench.SAFE, 0, 100, 9_000);
        long first = b.lastWorker();
        b.pass(3_000);
        assertEquals(2, b.sentTo.size());
        assertNotEquals(first, b.lastWorker());
        b.end(id, 1, Outcome.SERVED);
        assertEquals(1, b.count("cancel " + id + " 0"));
        Bench unsafe = new Bench(1, false).three();
        unsafe.request(Bench.UNSAFE, 0, 100, 9_000);
        unsafe.pass(3_000);
        assertEquals(1, unsafe.sentTo.size());
    }

    @Test
    void watchIsAskedAtStartAndRenewedAfterFailureWithGrowingPauses() {
        Bench b = new Bench(1, true);
        assertEquals(1, b.count("watch"));
        long last = 0;
        for (int i = 0; i < 12; i++) {
            b.list(ListUpdate.FAILED);
            long pause = b.timers.get(b.timers.size() - 1)[0] - b.now;
            assertTrue(pause <= 5_000_000, "within half of the time to ask");
            last = pause;
            b.pass(6_000);
            assertEquals(2 + i, b.count("watch"));
        }
        assertTrue(last >= 3_000_000);
        b.list(ListUpdate.CHANGES);
        b.list(ListUpdate.FAILED);
        assertTrue(b.timers.get(b.timers.size() - 1)[0] - b.now < 500_000, "short again after news");
    }

    @Test
    void useIsToldAtOnceCountsOnceAndIsNotToldAgain() {
        Bench a = new Bench(2, false).three();
        long id = a.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(1, a.told.size(), "with the word on the job, before any timer");
        a.end(id, 0, Outcome.SERVED);
        assertEquals(1, a.told.size(), "that the job is done can wait for a round");
        a.pass(1_000);
        assertEquals(2, a.told.size());
        a.pass(5_000);
        assertEquals(2, a.told.size());
        Bench b = new Bench(2, false).three();
        for (int i = 0; i < 20; i++) {
            b.module.messageReceived(b.now, 1, a.told.get(0));
        }
        b.end(b.request(Bench.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        b.end(b.request(Bench.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        b.pass(1_000);
        long relayed = 0;
        for (byte[] m : b.told) {
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
        Bench b = Bench.numbered(0, 14);
        b.list(ListUpdate.WHOLE, IntStream.range(0, 60).mapToObj(i -> Bench.worker(10 + i, 0, 0))
                .toArray(Dispatcher.Worker[]::new));
        long id = b.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(13, b.toldTo.stream().distinct().count());
        b.end(id, 0, Outcome.SERVED);
        assertEquals(13, b.told.size(), "the room waits");
        b.request(Bench.SAFE, 1, 100, 9_000);
        assertEquals(26, b.told.size());
        long[] news = SiblingMessage.read(b.told.get(25), 2, 14);
        assertEquals(12, news.length, "a bucket, the room, the send");
        assertEquals(0, news[7], "no slot is held there any more");
        assertEquals(1, news[11]);
    }

    @Test
    void whatSiblingsHaveQueuedIsCounted() {
        Bench a = new Bench(2, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        a.request(Bench.SAFE, 0, 1_000, 9_000);
        long busy = a.lastWorker();
        a.pass(150);
        for (long seed = 0; seed < 20; seed++) {
            Bench b = new Bench(2, false, true, seed).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0),
                    Bench.worker(11, 0, 0));
            b.module.messageReceived(b.now, 1, a.told.get(0));
            b.request(Bench.SAFE, 0, 10, 9_000);
            assertNotEquals(busy, b.lastWorker());
        }
    }

    @Test
    void ownZoneIsTakenAmongEquals() {
        for (long seed = 0; seed < 20; seed++) {
            Bench b = new Bench(1, false, true, seed).list(ListUpdate.WHOLE, Bench.worker(12, 1, 2),
                    Bench.worker(10, 0, 0));
            b.request(Bench.SAFE, 0, 10, 9_000);
            assertEquals(10, b.lastWorker());
        }
    }

    @Test
    void restartedDispatcherCountsOnTopOfItsFormerLife() {
        Bench former = new Bench(2, false).three();
        for (int i = 0; i < 9; i++) {
            former.end(former.request(Bench.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        former.pass(300);
        Bench now = new Bench(2, false).three();
        for (int i = 0; i < 4; i++) {
            now.end(now.request(Bench.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        for (int i = 0; i < 2; i++) {
            // siblings hold the last count only; the ninth word carries it
            now.module.messageReceived(now.now, 1, former.told.get(8));
        }
        now.request(Bench.SAFE, 0, 1, 9_000);
        long[] e = SiblingMessage.read(now.told.get(now.told.size() - 1), 2, 2);
        assertEquals(0, e[1]);
        assertEquals(14, e[2]);
    }

    @Test
    void hostileMessagesAreDroppedWhole() {
        Bench a = new Bench(2, false).three();
        a.request(Bench.SAFE, 0, 100, 9_000);
        a.pass(200);
        byte[] good = a.told.get(0);
        assertTrue(SiblingMessage.read(good, 2, 2).length > 0);
        assertNull(SiblingMessage.read(null, 2, 2));
        assertNull(SiblingMessage.read(new byte[300], 2, 2));
        for (int n = 0; n < good.length; n++) {
            assertNull(SiblingMessage.read(Arrays.copyOf(good, n), 2, 2), "cut to " + n);
        }
        assertNull(SiblingMessage.read(good, 0, 2), "a tenant we do not have");
        assertNull(SiblingMessage.read(good, 2, 0), "an owner we do not have");
        Random r = new Random(3);
        Bench b = new Bench(2, false).three();
        for (int i = 0; i < 2_000; i++) {
            byte[] m = new byte[r.nextInt(300)];
            r.nextBytes(m);
            b.module.messageReceived(b.now, r.nextInt(5) - 1, m);
        }
        b.module.messageReceived(b.now, 9, good);
        b.pass(1_000);
        assertEquals(0, b.told.size(), "nothing changed, nothing to tell");
    }

    @Test
    void absurdHintsReportsAndStaleIdsDoNoHarm() {
        Bench b = new Bench(1, false).three();
        for (double work : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY, 1e300}) {
            b.module.requested(b.now, new Request(1000 + b.log.size(), Bench.SAFE, 0, 9_000_000, work,
                    Integer.MAX_VALUE, -3, 0));
        }
        long id = b.request(Bench.SAFE, 1, 10, 9_000);
        b.module.ended(b.now, id, 0, true, Outcome.SERVED, new Dispatcher.Report(1e300, -1, Double.NaN, -1, 0,
                1e300, -9));
        b.end(id, 0, Outcome.SERVED);
        b.end(id, 77, Outcome.SERVED);
        b.module.started(b.now, 424242, 0);
        b.module.progressed(b.now, 424242, -1, Double.NaN);
        b.module.expired(b.now, 424242);
        b.module.elapsed(b.now, 424242 * 4 + 3);
        int before = b.log.size();
        b.request(Bench.SAFE, 1, 10, 9_000);
        assertTrue(b.log.size() > before);
    }

    /** Counted at once, a start came on top of the job whose end made room for it, and waits seemed half as long. */
    @Test
    void aStartThatOvertakesAnEndAddsNoSlot() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 4; i++) {
            b.module.started(b.now, b.request(Bench.SAFE, 0, 10, 9_000), 0);
        }
        long next = b.request(Bench.SAFE, 0, 10, 9_000);
        assertEquals(0, b.module.k.reach.get(0).slots);
        b.pass(Waits.NOTE_US / 1000);
        b.module.started(b.now, next, 0);
        assertEquals(4, b.module.k.reach.get(0).slots);
    }

    @Test
    void sameEventsSameActions() {
        assertEquals(script(5), script(5));
        assertFalse(new HashSet<>(script(5)).isEmpty());
    }

    private static List<String> script(long seed) {
        Bench b = new Bench(3, true, true, seed).three();
        Random r = new Random(9);
        for (int i = 0; i < 300; i++) {
            long id = b.request(r.nextInt(5), r.nextInt(2), 1 + r.nextInt(500), 9_000);
            b.pass(r.nextInt(60));
            b.end(id, 0, Outcome.values()[r.nextInt(Outcome.values().length)]);
        }
        return b.log;
    }

    /** A restart forgot the tenant's use and all speeds, under full load. */
    @Test
    void aFormerLifeIsTakenInAndCountsOnlyOnce() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        for (int i = 0; i < 30; i++) {
            long id = b.request(Bench.SAFE, 0, 40, 9_000, 1 + i % 3);
            b.module.started(b.now, id, 0);
            b.pass(20);
            b.end(id, 0, Outcome.SERVED);
        }
        granitefold.recovery.LearnedState old = b.module.learned(b.now);
        long used = old.buckets().get(0).used().get(0);
        assertEquals(30, used);
        assertTrue(old.workers().stream().anyMatch(p -> p.weight() > 0 && !p.kept().isEmpty()), old.toString());
        Bench next = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        next.request(Bench.SAFE, 0, 40, 9_000);
        next.module.restore(next.now, old);
        granitefold.recovery.LearnedState now = next.module.learned(next.now);
        assertEquals(used + 1, now.buckets().get(0).used().get(0), "this life's use comes on top");
        double credit = now.buckets().get(0).credited() - used - 1;
        assertTrue(credit <= 15, "no more than a bucket is granted: " + credit);
        for (granitefold.recovery.LearnedState.Worker p : old.workers()) {
            granitefold.recovery.LearnedState.Worker q = now.workers().stream().filter(x -> x.id() == p.id()).findFirst().orElseThrow();
            assertEquals(p.weight(), q.weight(), 1e-9);
            assertEquals(p.kept(), q.kept());
            assertTrue(q.slots() >= p.slots());
        }
        next.module.restore(next.now, new granitefold.recovery.LearnedState(0, 0, 0, 0, 0, List.of(), List.of(), List.of(), List.of()));
        assertEquals(used + 1, next.module.learned(next.now).buckets().get(0).used().get(0));
    }
}
