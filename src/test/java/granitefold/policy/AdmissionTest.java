package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Request;
import org.junit.jupiter.api.Test;

/** Which requests are admitted and which are refused under load. */
class AdmissionTest {

    @Test
    void emptyBucketIsAdmittedAndCountedWithoutOverloadAndRefusedUnderOverload() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 30; i++) {
            long id = bed.request(TestBed.SAFE, 0, 1, 9_000);
            bed.endAttempt(id, 0, Outcome.SERVED);
        }
        assertEquals(30, bed.countActions("send"), "no overload: the bucket of 15 is empty, yet all were sent");
        bed.request(TestBed.SAFE, 1, 600, 9_000);
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertEquals(1, bed.countActions("refuse"), "overloaded, and tenant 0 has no tokens");
        String[] refusal = bed.actions.get(bed.actions.size() - 1).split(" ");
        assertTrue(Long.parseLong(refusal[2]) > 0, "with a retry-after");
        bed.request(TestBed.SAFE, 1, 10, 9_000);
        assertEquals(1, bed.countActions("refuse"), "tenant 1 has tokens");
    }

    @Test
    void underOverloadAJobThatCannotBeOnTimeIsRefused() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 200 && bed.countActions("refuse") == 0; i++) {
            bed.request(TestBed.SAFE, 0, 8_000, 9_900);
        }
        assertTrue(bed.countActions("send") > 0);
        bed.request(TestBed.SAFE, 1, 10, 9_900);
        assertEquals(2, bed.countActions("refuse"));
    }

    /**
     * A worker that fails at once has an empty queue. It counted as capacity although no job went there, and all jobs
     * were late.
     */
    @Test
    void emptyQueueOfAFailingWorkerIsNoCapacity() {
        // next to none of what the quotas promise is the part of these two workers
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0),
                new Dispatcher.Worker(12, 1_000, Dispatcher.State.DRAINING, 0, 0, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 8_000, 30_000);
        bed.endAttempt(id, 0, Outcome.ERROR);
        bed.request(TestBed.SAFE, 1, 10, 9_900);
        assertEquals(1, bed.countActions("refuse"), "the other worker is busy for 8 s");
    }

    /** Likewise for overload: if only a failing worker is free, a tenant over its quota is refused. */
    @Test
    void aFailingWorkerDoesNotEndOverload() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        for (int i = 0; i < 30; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, 0, 1, 9_000), 0, Outcome.SERVED);
        }
        bed.endAttempt(bed.request(TestBed.SAFE, 1, 600, 9_000), 0, Outcome.ERROR);
        bed.request(TestBed.SAFE, 0, 10, 9_000);
        assertEquals(1, bed.countActions("refuse"), "its bucket is empty, and the healthy worker is busy for 0.6 s");
    }

    @Test
    void aSuspectedWorkerIsUsedIfAllAreSuspected() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        bed.endAttempt(bed.request(TestBed.SAFE, 0, 10, 9_000), 0, Outcome.FULL);
        bed.request(TestBed.SAFE, 1, 10, 9_000);
        assertEquals(0, bed.countActions("refuse"));
        assertEquals(3, bed.countActions("send"));
    }

    /** If all workers are in slow start and their budgets are spent, a request waits for budget while it is useful. */
    @Test
    void requestsBeyondTheSlowStartBudgetAreHeldIfAllWorkersAreInSlowStart() {
        TestBed bed = new TestBed(1, false);
        bed.updateList(ListUpdate.WHOLE, new Dispatcher.Worker(11, 1, Dispatcher.State.READY, bed.now, 0, 0, 0));
        for (int i = 0; i < 20 && bed.countActions("send") == i; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, i % 2, 100, 9_000), 0, Outcome.SERVED);
        }
        long sent = bed.countActions("send");
        assertTrue(sent > 0);
        assertEquals(0, bed.countActions("refuse"), "held");
        bed.advance(2_000);
        assertEquals(sent + 1, bed.countActions("send"), "it is sent when the worker's budget has grown");
    }

    /** A new worker whose slow-start budget is spent is idle. It counted as capacity, and all jobs were late. */
    @Test
    void aWorkerWithoutSlowStartBudgetIsNoCapacity() {
        TestBed bed = new TestBed(1, false);
        bed.updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 200 && bed.countActions("refuse") == 0; i++) {
            bed.request(TestBed.SAFE, 1, 100, 9_000);
        }
        bed.updateList(ListUpdate.CHANGES, new Dispatcher.Worker(11, 1, Dispatcher.State.READY, bed.now, 0, 0, 0));
        int sent = 0;
        for (; bed.countActions("refuse") == 1 && sent < 20; sent++) {
            bed.request(TestBed.SAFE, 0, 100, 9_000);
            bed.endAttempt(bed.sendTargets.size() + 1, 0, Outcome.SERVED);
        }
        assertEquals(2, bed.sendTargets.stream().filter(w -> w == 11).count(), "its budget allows two jobs");
        assertEquals(3, sent, "the next is refused at once, not sent to the queue of the other worker");
    }

    /**
     * Each of many dispatchers has few jobs on a worker. It assumed that every worker has one slot and refused jobs that
     * there was capacity for.
     */
    @Test
    void slotsAreInferredFromQuotasBeforeAnyWereSeen() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0), TestBed.worker(11, 0, 0));
        for (int i = 0; i < 40; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, i % 2, 1_000, 9_000), 0, Outcome.SERVED);
        }
        bed.advance(3_000);
        for (int i = 0; i < 6; i++) {
            bed.request(TestBed.SAFE, i % 2, 1_000, 9_000);
        }
        assertEquals(0, bed.countActions("refuse"), "10 jobs of 1 s per second need 5 slots on each worker, of which 3 are assumed");
    }

    /** Jobs of a class with a long allowance filled the queues, and all jobs of tighter classes, which are worth less, were late. */
    @Test
    void noQueueExceedsWhatAMeanJobOfTheTightestClassBears() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0),
                new Dispatcher.Worker(12, 1_000, Dispatcher.State.DRAINING, 0, 0, 0, 0));
        for (int i = 0; i < 4; i++) {
            bed.request(TestBed.SAFE, i % 2, 2_000, 60_000);
        }
        assertEquals(1, bed.countActions("send"), "the second job of 2 s could wait for 2.5 s, a mean job of another class for 0.6 s");
    }

    /** A job with many slots waits until they are free together. That is no queue, and such jobs are worth the most. */
    @Test
    void aJobWithManySlotsMayWaitForThemIfThereIsNoQueue() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 20; i++) {
            bed.endAttempt(bed.request(TestBed.SAFE, i % 2, 1_000, 9_000), 0, Outcome.SERVED);
        }
        bed.advance(3_000);
        bed.request(TestBed.SAFE, 0, 1_000, 9_000);
        // one of the about 5 slots that 10 jobs of 1 s per second need is taken
        bed.policy.requested(bed.now, new Dispatcher.Request(99, TestBed.SAFE, 0, 60_000_000, 2_000_000, 1_000, 0, 0));
        assertTrue(bed.policy.state.candidates.get(0).expectedWaitUs > 600_000
                && bed.policy.state.candidates.get(0).queueWaitUs == 0, "one slot is free, not all");
        assertTrue(bed.actions.contains("send 99 10"), "it would start after 1 s and finish in time");
    }

    @Test
    void slotsInferredFromAbsurdQuotasAreBounded() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        for (int i = 0; i < 300; i++) {
            bed.request(TestBed.SAFE, i % 2, 600_000, 3_000_000);
        }
        // 10 jobs of 600 s per second would need 6000 slots; jobs beyond the assumed slots wait
        assertTrue(bed.countActions("send") <= 2 * WaitEstimator.MAX_QUOTA_SLOTS, bed.countActions("send") + " sent");
    }
}
