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
import granitefold.recovery.LearnedState;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Worker selection, retries, messages between siblings and restarts, through the events of the policy. */
class DispatchPolicyTest {

    @Test
    void picksTheWorkerWithTheLeastQueuedWork() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        bed.request(TestBed.SAFE, 0, 1_000, 9_000);
        long busy = bed.lastWorker();
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertNotEquals(busy, bed.lastWorker());
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertNotEquals(busy, bed.lastWorker());
    }

    /** Jobs sent to workers without their key's data overloaded the store with fetches: every job was late, and the fleet did not recover. */
    @Test
    void aJobIsSentWhereItsKeyIsKeptUnlessThatWorkerIsFarBusier() {
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
            assertTrue(bed.actions.size() < 60, "all jobs were sent to one worker");
        }
    }

    /** A job that is no longer useful is refused at once. It was held until its client's deadline. */
    @Test
    void aJobThatNoWorkerTakesIsHeldOnlyWhileItIsUseful() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.updateList(ListUpdate.WHOLE);
        bed.endAttempt(id, 0, Outcome.FULL);
        assertEquals(0, bed.countActions("refuse"), "a worker may come back in time");
        bed.advance(1_000);
        assertEquals(1, bed.countActions("refuse"), "its allowance with tolerance has passed, its deadline has not");
    }

    /** No client waits for the result any more. */
    @Test
    void anAttemptIsCancelledWhenItsClientLeaves() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        bed.policy.expired(bed.now, id);
        assertEquals(1, bed.countActions("cancel"));
    }

    @Test
    void refusingOrFailingWorkersAreAvoidedUnlessAllAre() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.UNREACHABLE, Outcome.ERROR)) {
            TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
            long id = bed.request(TestBed.SAFE, 0, 10, 9_000);
            long refusing = bed.lastWorker();
            bed.endAttempt(id, 0, outcome);
            assertNotEquals(refusing, bed.lastWorker());
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertNotEquals(refusing, bed.lastWorker(), "although it has no jobs");
            bed.endAttempt(id, 1, outcome);
            assertEquals(4, bed.sendTargets.size(), "both refused: the better one is used all the same");
        }
    }

    @Test
    void servedOldJobsDoNotEndTheAvoidanceOfTheirWorker() {
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
    void jobsOfASilentWorkerAreCopiedAndTheSlowerAttemptIsCancelled() {
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
    void theListIsWatchedAtStartAndAfterFailuresWithGrowingPauses() {
        TestBed bed = new TestBed(1, true);
        assertEquals(1, bed.countActions("watch"));
        long last = 0;
        for (int i = 0; i < 12; i++) {
            bed.updateList(ListUpdate.FAILED);
            long pause = bed.timers.get(bed.timers.size() - 1)[0] - bed.now;
            assertTrue(pause <= 5_000_000, "within half of the permitted time without a watch");
            last = pause;
            bed.advance(6_000);
            assertEquals(2 + i, bed.countActions("watch"));
        }
        assertTrue(last >= 3_000_000);
        bed.updateList(ListUpdate.CHANGES);
        bed.updateList(ListUpdate.FAILED);
        assertTrue(bed.timers.get(bed.timers.size() - 1)[0] - bed.now < 500_000, "short again after an update");
    }

    @Test
    void bucketUseIsReportedAtOnceCountedOnceAndNotReportedAgain() {
        TestBed sender = new TestBed(2, false).withThreeWorkers();
        long id = sender.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(1, sender.messages.size(), "with the load report on the job, before any timer");
        sender.endAttempt(id, 0, Outcome.SERVED);
        assertEquals(1, sender.messages.size(), "that the job has ended can wait for a round");
        sender.advance(1_000);
        assertEquals(2, sender.messages.size());
        sender.advance(5_000);
        assertEquals(2, sender.messages.size());
        TestBed bed = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 20; i++) {
            bed.policy.messageReceived(bed.now, 1, sender.messages.get(0));
        }
        bed.endAttempt(bed.request(TestBed.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        bed.endAttempt(bed.request(TestBed.UNSAFE, 1, 100, 9_000), 0, Outcome.SERVED);
        bed.advance(1_000);
        long relayed = 0;
        for (byte[] message : bed.messages) {
            long[] entries = SiblingMessage.read(message, 2, 2);
            for (int i = 0; i < entries.length; i += 4) {
                relayed += entries[i] == 0 ? 1 : 0;
                assertTrue(entries[i] != 0 || entries[i + 1] == 0 && entries[i + 2] == 1, "received twenty times, counted once");
            }
        }
        assertEquals(1, relayed, "relayed once");
    }

    /** Only 8 of 14 dispatchers were sent a load report, and half of the sends went to workers whose load was unknown. */
    @Test
    void allSiblingsOfALargeFleetReceiveASendAtOnceAndAnEndWithTheNextSend() {
        TestBed bed = TestBed.inFleet(0, 14);
        bed.updateList(ListUpdate.WHOLE, IntStream.range(0, 60).mapToObj(i -> TestBed.worker(10 + i, 0, 0))
                .toArray(Dispatcher.Worker[]::new));
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(13, bed.recipients.stream().distinct().count());
        bed.endAttempt(id, 0, Outcome.SERVED);
        assertEquals(13, bed.messages.size(), "the end waits for the next send");
        bed.request(TestBed.SAFE, 1, 100, 9_000);
        assertEquals(26, bed.messages.size());
        long[] entries = SiblingMessage.read(bed.messages.get(25), 2, 14);
        assertEquals(12, entries.length, "a bucket, the end, the send");
        assertEquals(0, entries[7], "no slot is held there any more");
        assertEquals(1, entries[11]);
    }

    @Test
    void loadReportedBySiblingsIsCounted() {
        TestBed sender = new TestBed(2, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        sender.request(TestBed.SAFE, 0, 1_000, 9_000);
        long busy = sender.lastWorker();
        sender.advance(150);
        for (long seed = 0; seed < 20; seed++) {
            TestBed bed = new TestBed(2, false, true, seed).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0),
                    TestBed.worker(11, 0, 0));
            bed.policy.messageReceived(bed.now, 1, sender.messages.get(0));
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertNotEquals(busy, bed.lastWorker());
        }
    }

    @Test
    void theOwnZoneIsPreferredAmongEqualWorkers() {
        for (long seed = 0; seed < 20; seed++) {
            TestBed bed = new TestBed(1, false, true, seed).updateList(ListUpdate.WHOLE, TestBed.worker(12, 1, 2),
                    TestBed.worker(10, 0, 0));
            bed.request(TestBed.SAFE, 0, 10, 9_000);
            assertEquals(10, bed.lastWorker());
        }
    }

    @Test
    void aRestartedDispatcherCountsOnTopOfItsPreviousProcess() {
        TestBed previous = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 9; i++) {
            previous.endAttempt(previous.request(TestBed.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        previous.advance(300);
        TestBed current = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 4; i++) {
            current.endAttempt(current.request(TestBed.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        for (int i = 0; i < 2; i++) {
            // siblings hold the last count only; the ninth message carries it
            current.policy.messageReceived(current.now, 1, previous.messages.get(8));
        }
        current.request(TestBed.SAFE, 0, 1, 9_000);
        long[] entries = SiblingMessage.read(current.messages.get(current.messages.size() - 1), 2, 2);
        assertEquals(0, entries[1]);
        assertEquals(14, entries[2]);
    }

    @Test
    void invalidMessagesAreDroppedAsAWhole() {
        TestBed sender = new TestBed(2, false).withThreeWorkers();
        sender.request(TestBed.SAFE, 0, 100, 9_000);
        sender.advance(200);
        byte[] valid = sender.messages.get(0);
        assertTrue(SiblingMessage.read(valid, 2, 2).length > 0);
        assertNull(SiblingMessage.read(null, 2, 2));
        assertNull(SiblingMessage.read(new byte[300], 2, 2));
        for (int n = 0; n < valid.length; n++) {
            assertNull(SiblingMessage.read(Arrays.copyOf(valid, n), 2, 2), "truncated to " + n);
        }
        assertNull(SiblingMessage.read(valid, 0, 2), "an unknown tenant");
        assertNull(SiblingMessage.read(valid, 2, 0), "an unknown owner");
        Random random = new Random(3);
        TestBed bed = new TestBed(2, false).withThreeWorkers();
        for (int i = 0; i < 2_000; i++) {
            byte[] message = new byte[random.nextInt(300)];
            random.nextBytes(message);
            bed.policy.messageReceived(bed.now, random.nextInt(5) - 1, message);
        }
        bed.policy.messageReceived(bed.now, 9, valid);
        bed.advance(1_000);
        assertEquals(0, bed.messages.size(), "nothing changed, nothing to send");
    }

    @Test
    void absurdHintsAndReportsAndUnknownIdsAreHarmless() {
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

    /**
     * A start note can overtake the answer of the job whose end made room for it. Counted at once, it added a slot, and
     * estimated waits were half as long.
     */
    /** Guards against a worker without any slot, on which no wait can be estimated: each decision ended in an internal error. */
    @Test
    void kindThatAPreviousProcessLearnedWithoutItsSlotsHasOne() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        LearnedState.Kind kind = new LearnedState.Kind(0, 0, 5, 0);
        bed.policy.restore(bed.now, new LearnedState(bed.now, 0, 0, 0, 0, List.of(kind), List.of(), List.of(), List.of()));
        assertEquals(3, bed.policy.pressure(bed.now).ready());
        bed.request(TestBed.SAFE, 0, 0, 9_000);
        assertEquals(1, bed.sendTargets.size());
    }

    /** Guards against quotas that count for nothing until the first decision. */
    @Test
    void sizeOfTheFleetIsKnownBeforeTheFirstDecision() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        assertEquals(3, bed.policy.state.maxTotalSize);
        bed.updateList(ListUpdate.CHANGES, new Dispatcher.Worker(13, 2, Dispatcher.State.READY, 0, 0, 0, 0));
        bed.updateList(ListUpdate.CHANGES, new Dispatcher.Worker(13, 2, Dispatcher.State.GONE, 0, 0, 0, 0), TestBed.worker(10, 0, 0));
        assertEquals(5, bed.policy.state.maxTotalSize);
        assertEquals(3, bed.policy.state.totalSize);
    }

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
    void theSameEventsLeadToTheSameActions() {
        assertEquals(actionsOfARandomRun(5), actionsOfARandomRun(5));
        assertFalse(new HashSet<>(actionsOfARandomRun(5)).isEmpty());
    }

    private static List<String> actionsOfARandomRun(long seed) {
        TestBed bed = new TestBed(3, true, true, seed).withThreeWorkers();
        Random random = new Random(9);
        for (int i = 0; i < 300; i++) {
            long id = bed.request(random.nextInt(5), random.nextInt(2), 1 + random.nextInt(500), 9_000);
            bed.advance(random.nextInt(60));
            bed.endAttempt(id, 0, Outcome.values()[random.nextInt(Outcome.values().length)]);
        }
        return bed.actions;
    }

    /** A restart under full load lost the tenants' use and all learned speeds. */
    @Test
    void theStateOfAPreviousProcessIsRestoredAndCountedOnce() {
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
        assertEquals(used + 1, now.buckets().get(0).used().get(0), "the use of this process comes on top");
        double credit = now.buckets().get(0).credited() - used - 1;
        assertTrue(credit <= 15, "no more credit than the capacity: " + credit);
        for (granitefold.recovery.LearnedState.Worker before : old.workers()) {
            granitefold.recovery.LearnedState.Worker after = now.workers().stream().filter(w -> w.id() == before.id()).findFirst().orElseThrow();
            assertEquals(before.weight(), after.weight(), 1e-9);
            assertEquals(before.kept(), after.kept());
            assertTrue(after.slots() >= before.slots());
        }
        next.policy.restore(next.now, new granitefold.recovery.LearnedState(0, 0, 0, 0, 0, List.of(), List.of(), List.of(), List.of()));
        assertEquals(used + 1, next.policy.learned(next.now).buckets().get(0).used().get(0));
    }
}
