package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Request;
import org.junit.jupiter.api.Test;

/** What is taken in and what is refused under load. */
class AdmissionTest {

    @Test
    void emptyBucketGoesAndCountsWithoutStrainAndIsRefusedUnderStrain() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 30; i++) {
            long id = b.request(Bench.SAFE, 0, 1, 9_000);
            b.end(id, 0, Outcome.SERVED);
        }
        assertEquals(30, b.count("send"), "no strain: the bucket of 15 is long empty, yet all went");
        b.request(Bench.SAFE, 1, 600, 9_000);
        b.request(Bench.SAFE, 0, 10, 9_000);
        assertEquals(1, b.count("refuse"), "strained, and tenant 0 has no tokens");
        String[] words = b.log.get(b.log.size() - 1).split(" ");
        assertTrue(Long.parseLong(words[2]) > 0, "with a retry-after");
        b.request(Bench.SAFE, 1, 10, 9_000);
        assertEquals(1, b.count("refuse"), "tenant 1 has tokens");
    }

    @Test
    void underStrainWhatCannotBeOnTimeIsRefused() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 200 && b.count("refuse") == 0; i++) {
            b.request(Bench.SAFE, 0, 8_000, 9_900);
        }
        assertTrue(b.count("send") > 0);
        b.request(Bench.SAFE, 1, 10, 9_900);
        assertEquals(2, b.count("refuse"));
    }

    /** One worker that errs at once stands empty: it seemed to be room for all, while none went there and all were late. */
    @Test
    void anErringWorkersEmptyQueueIsNoRoom() {
        // of what the quotas promise, next to nothing is the part of these two
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0),
                new Dispatcher.Worker(12, 1_000, Dispatcher.State.DRAINING, 0, 0, 0, 0));
        long id = b.request(Bench.SAFE, 0, 8_000, 30_000);
        b.end(id, 0, Outcome.ERROR);
        b.request(Bench.SAFE, 1, 10, 9_900);
        assertEquals(1, b.count("refuse"), "the other one is busy for 8 s");
    }

    /** The same in strain: where no worker but an erring one is free, a tenant past its share is refused. */
    @Test
    void anErringWorkerIsNoEndOfStrain() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        for (int i = 0; i < 30; i++) {
            b.end(b.request(Bench.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        b.end(b.request(Bench.SAFE, 1, 600, 9_000), 0, Outcome.ERROR);
        b.request(Bench.SAFE, 0, 10, 9_000);
        assertEquals(1, b.count("refuse"), "its bucket is empty, and the healthy worker is busy for 0.6 s");
    }

    @Test
    void whereAllAreSuspectAWorkerIsTakenAllTheSame() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        b.end(b.request(Bench.SAFE, 0, 10, 9_000), 0, Outcome.FULL);
        b.request(Bench.SAFE, 1, 10, 9_000);
        assertEquals(0, b.count("refuse"));
        assertEquals(3, b.count("send"));
    }

    /** With none but cold workers whose budget is spent, a request waits for it while that is of use. */
    @Test
    void anAllColdFleetHoldsWhatItsBudgetDoesNotReachFor() {
        Bench b = new Bench(1, false);
        b.list(ListUpdate.WHOLE, new Dispatcher.Worker(11, 1, Dispatcher.State.READY, b.now, 0, 0, 0));
        for (int i = 0; i < 20 && b.count("send") == i; i++) {
            b.end(b.request(Bench.SAFE, i % 2, 100, 9_000), 0, Outcome.SERVED);
        }
        long sent = b.count("send");
        assertTrue(sent > 0);
        assertEquals(0, b.count("refuse"), "held");
        b.pass(2_000);
        assertEquals(sent + 1, b.count("send"), "it goes as the worker warms");
    }

    /** A new worker whose cold budget is spent stands idle: it seemed to be room for all, and all were late. */
    @Test
    void aColdWorkerWithoutBudgetIsNoRoom() {
        Bench b = new Bench(1, false);
        b.list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 200 && b.count("refuse") == 0; i++) {
            b.request(Bench.SAFE, 1, 100, 9_000);
        }
        b.list(ListUpdate.CHANGES, new Dispatcher.Worker(11, 1, Dispatcher.State.READY, b.now, 0, 0, 0));
        int sent = 0;
        for (; b.count("refuse") == 1 && sent < 20; sent++) {
            b.request(Bench.SAFE, 0, 100, 9_000);
            b.end(b.sentTo.size() + 1, 0, Outcome.SERVED);
        }
        assertEquals(2, b.sentTo.stream().filter(w -> w == 11).count(), "its budget is for two");
        assertEquals(3, sent, "the next is told at once, not sent behind the queue of the other");
    }

    /** Each of many dispatchers has few jobs on one worker: it took all to have one slot, and rejected what it had room for. */
    @Test
    void slotsThatTheQuotasNeedAreThereBeforeAnyWereSeen() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0), Bench.worker(11, 0, 0));
        for (int i = 0; i < 40; i++) {
            b.end(b.request(Bench.SAFE, i % 2, 1_000, 9_000), 0, Outcome.SERVED);
        }
        b.pass(3_000);
        for (int i = 0; i < 6; i++) {
            b.request(Bench.SAFE, i % 2, 1_000, 9_000);
        }
        assertEquals(0, b.count("refuse"), "10 jobs of 1 s a second need 5 slots on each, of which 3 are counted on");
    }

    /** Jobs of a class that bears long waits filled the queues, and those of tighter ones, worth less, were all late. */
    @Test
    void noWaitPassesWhatAMeanJobOfTheTightestClassBears() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0),
                new Dispatcher.Worker(12, 1_000, Dispatcher.State.DRAINING, 0, 0, 0, 0));
        for (int i = 0; i < 4; i++) {
            b.request(Bench.SAFE, i % 2, 2_000, 60_000);
        }
        assertEquals(1, b.count("send"), "of 2 s each the second would bear to wait for 2.5 s, a mean one of another class 0.6 s");
    }

    /** A roomy job waits for its slots to run free together: that is no queue, and such jobs are worth the most. */
    @Test
    void aRoomyJobMayWaitForItsSlotsWhereThereIsNoQueue() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 20; i++) {
            b.end(b.request(Bench.SAFE, i % 2, 1_000, 9_000), 0, Outcome.SERVED);
        }
        b.pass(3_000);
        b.request(Bench.SAFE, 0, 1_000, 9_000);
        // of the 5 or so slots that 10 jobs of 1 s a second need, one is taken
        b.module.requested(b.now, new Dispatcher.Request(99, Bench.SAFE, 0, 60_000_000, 2_000_000, 1_000, 0, 0));
        assertTrue(b.module.k.reach.get(0).wait > 600_000 && b.module.k.reach.get(0).queue == 0, "one is free, not all");
        assertTrue(b.log.contains("send 99 10"), "it is to start after 1 s, and would be in time");
    }

    @Test
    void absurdQuotasMakeNoAbsurdSlots() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        for (int i = 0; i < 300; i++) {
            b.request(Bench.SAFE, i % 2, 600_000, 3_000_000);
        }
        // 10 jobs of 600 s a second would need 6000 slots; what is sent beyond those counted on waits its turn
        assertTrue(b.count("send") <= 2 * Waits.SLOTS_PROMISED, b.count("send") + " sent");
    }
}
