package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import org.junit.jupiter.api.Test;

/** The rules that every send and every final answer must respect. */
class SendConstraintsTest {

    @Test
    void repeatsPerOutcomeAndEffect() {
        for (Outcome outcome : Outcome.values()) {
            for (int jobClass = TestBed.SAFE; jobClass <= TestBed.UNSAFE; jobClass++) {
                if (outcome == Outcome.SERVED) {
                    continue;
                }
                TestBed bed = new TestBed(1, false).withThreeWorkers();
                long id = bed.request(jobClass, 0, 100, 9_000);
                long first = bed.lastWorker();
                bed.endAttempt(id, 0, outcome);
                String context = outcome + " of class " + jobClass;
                if (jobClass == TestBed.UNSAFE && !outcome.neverRan()) {
                    assertEquals(1, bed.sendTargets.size(), context);
                    assertEquals(1, bed.countActions("fail"), context);
                    assertEquals(0, bed.countActions("refuse"), context);
                    continue;
                }
                assertEquals(2, bed.sendTargets.size(), context);
                if (!outcome.neverRan() && jobClass == TestBed.KEYED_CELL) {
                    assertEquals(first, bed.lastWorker(), context);
                }
                if (!outcome.neverRan() && jobClass == TestBed.KEYED_ZONE) {
                    assertEquals(first == 12, bed.lastWorker() == 12, context);
                }
            }
        }
    }

    @Test
    void keyedJobIsNotResentAfterItsWindowAndFailsUnlessAnyWorkerDeduplicatesIt() {
        for (int jobClass : new int[] {TestBed.KEYED_ALL, TestBed.KEYED_ZONE}) {
            TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
            long id = bed.request(jobClass, 0, 100, 9_000);
            bed.now += (TestBed.DEDUP_WINDOW_MS + 1) * 1000;
            bed.endAttempt(id, 0, Outcome.ERROR);
            bed.advance(9_000);
            assertEquals(1, bed.sendTargets.size());
            assertEquals(jobClass == TestBed.KEYED_ALL ? 1 : 0, bed.countActions("refuse"));
            assertEquals(jobClass == TestBed.KEYED_ALL ? 0 : 1, bed.countActions("fail"));
        }
    }

    @Test
    void attemptsNeverExceedTheirLimit() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        long id = bed.request(TestBed.SAFE, 0, 100, 9_000);
        for (int i = 0; i < 4; i++) {
            bed.endAttempt(id, i, Outcome.ERROR);
        }
        assertEquals(4, bed.sendTargets.size());
        assertEquals(1, bed.countActions("refuse") + bed.countActions("fail"));
    }

    @Test
    void heldRequestIsAnsweredBeforeItsClientGivesUp() {
        TestBed bed = new TestBed(1, false);
        long before = bed.now;
        bed.request(TestBed.UNSAFE, 0, 100, 300);
        while (bed.countActions("refuse") == 0 && bed.now < before + 400_000) {
            bed.advance(1);
        }
        assertEquals(1, bed.countActions("refuse"));
        assertTrue(bed.now <= before + 300_000, "before its deadline");
        bed.advance(1_000);
        assertEquals(1, bed.actions.stream().filter(l -> l.startsWith("refuse") || l.startsWith("fail")).count());
    }

    @Test
    void requestWithoutTimeLeftIsAnsweredAtOnce() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        bed.request(TestBed.SAFE, 0, 100, 1);
        assertEquals(1, bed.countActions("refuse"));
        assertEquals(0, bed.countActions("send"));
    }

    @Test
    void timeoutAtTheDeadlineFailsAJobThatMayHaveRun() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        long id = bed.request(TestBed.UNSAFE, 0, 100, 500);
        bed.now += 500_000;
        bed.endAttempt(id, 0, Outcome.TIMED_OUT);
        assertEquals(1, bed.countActions("fail"));
        bed.endAttempt(id, 0, Outcome.TIMED_OUT);
        assertEquals(1, bed.countActions("fail"));
    }

    @Test
    void nothingIsSentToADrainingGoneOrUnlistedWorker() {
        TestBed bed = new TestBed(1, false).withThreeWorkers();
        bed.updateList(ListUpdate.CHANGES, new Worker(10, 1, State.DRAINING, 0, 0, 0, 0),
                new Worker(11, 1, State.GONE, 0, 0, 1, 0));
        for (int i = 0; i < 5; i++) {
            bed.request(TestBed.SAFE, 0, 100, 9_000);
            assertEquals(12, bed.lastWorker());
        }
        bed.updateList(ListUpdate.WHOLE, TestBed.worker(11, 0, 1));
        bed.request(TestBed.SAFE, 0, 100, 9_000);
        assertEquals(11, bed.lastWorker());
        bed.updateList(ListUpdate.WHOLE);
        int sent = bed.sendTargets.size();
        bed.request(TestBed.SAFE, 0, 100, 500);
        bed.advance(600);
        assertEquals(sent, bed.sendTargets.size());
        assertEquals(1, bed.countActions("refuse"));
    }

    @Test
    void slowStartBudgetHoldsForOneAndForManyDispatchers() {
        double[] sent = new double[2];
        for (int many = 0; many < 2; many++) {
            TestBed bed = new TestBed(many == 0 ? 1 : 4, false);
            // estimated full capacity: 10 jobs per second x 50 ms = half a core
            bed.updateList(ListUpdate.WHOLE, new Worker(10, 1, State.READY, bed.now - 1, 0, 0, 0));
            for (int i = 0; i < 100; i++) {
                bed.request(TestBed.SAFE, 0, 50, 9_000);
            }
            sent[many] = bed.sendTargets.size() * 50_000.0;
        }
        double budget = 4 * 0.25 * 0.5e6;
        assertTrue(sent[0] > 0 && sent[0] <= budget, "one: " + sent[0]);
        assertTrue(sent[1] > 0 && sent[1] <= budget / 4, "of four: " + sent[1]);
    }

    @Test
    void rejectedSendsCountAgainstTheSlowStartBudgetUntilTheWindowHasPassed() {
        TestBed bed = new TestBed(1, false);
        bed.updateList(ListUpdate.WHOLE, new Worker(10, 1, State.READY, bed.now - 1, 0, 0, 0));
        for (int i = 0; i < 20; i++) {
            long id = bed.request(TestBed.SAFE, i % 2, 50, 200);
            for (int attempt = 0; attempt < 4; attempt++) {
                bed.endAttempt(id, attempt, Outcome.FULL);
            }
        }
        int sent = bed.sendTargets.size();
        assertTrue(sent > 0 && sent * 50_000.0 <= 0.5e6, "sent " + sent);
        bed.advance(1_100);
        bed.request(TestBed.SAFE, 0, 50, 9_000);
        assertEquals(sent + 1, bed.sendTargets.size(), "the window has passed");
    }

    @Test
    void aHeavyJobIsNotSentToAWorkerInSlowStart() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        bed.request(TestBed.SAFE, 0, 50, 9_000);
        bed.updateList(ListUpdate.CHANGES, new Worker(20, 1, State.READY, bed.now - 1, 0, 0, 0));
        bed.request(TestBed.SAFE, 0, 5_000, 9_900);
        assertNotEquals(20, bed.lastWorker());
    }

    @Test
    void anUnreachableWorkerIsInSlowStartFromThen() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long id = bed.request(TestBed.SAFE, 0, 50, 200);
        bed.endAttempt(id, 0, Outcome.UNREACHABLE);
        bed.advance(2_500);
        int before = bed.sendTargets.size();
        for (int i = 0; i < 13; i++) {
            bed.request(TestBed.SAFE, i % 2, 50, 9_000);
        }
        int sent = bed.sendTargets.size() - before;
        assertTrue(sent > 0 && sent < 13, "sent " + sent);
    }

    @Test
    void aFullConnectionTableIsNotTakenForARestart() {
        TestBed bed = new TestBed(1, false).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0));
        long running = bed.request(TestBed.SAFE, 0, 50, 9_000);
        long turnedAway = bed.request(TestBed.SAFE, 0, 50, 200);
        bed.endAttempt(turnedAway, 0, Outcome.UNREACHABLE);
        bed.advance(2_500);
        bed.endAttempt(running, 0, Outcome.SERVED);
        int before = bed.sendTargets.size();
        for (int i = 0; i < 13; i++) {
            bed.request(TestBed.SAFE, i % 2, 40, 9_000);
        }
        assertEquals(13, bed.sendTargets.size() - before, "it finished its running job, so it did not restart");
    }

    @Test
    void withoutSecondCopiesThereIsOneOpenAttempt() {
        for (boolean copies : new boolean[] {false, true}) {
            TestBed bed = new TestBed(1, false, copies, 7).updateList(ListUpdate.WHOLE, TestBed.worker(10, 0, 0),
                    TestBed.worker(11, 0, 0), TestBed.worker(12, 0, 0), TestBed.worker(13, 0, 0));
            bed.request(TestBed.SAFE, 0, 100, 9_000);
            bed.advance(5_000);
            assertEquals(copies ? 2 : 1, bed.sendTargets.size(), "copies " + copies);
        }
    }

    /** Two processes of one dispatcher that each used its whole part of a slow-start budget would overload the worker together. */
    @Test
    void aSupersededProcessSendsNothingToAWorkerInSlowStart() {
        TestBed bed = new TestBed(1, false);
        bed.updateList(ListUpdate.WHOLE, new Dispatcher.Worker(10, 1, Dispatcher.State.READY, bed.now - 1_000_000, 0, 0, 0),
                TestBed.worker(11, 0, 0));
        for (int i = 0; i < 9 && !bed.sendTargets.contains(10L); i++) {
            bed.request(TestBed.SAFE, 0, 20, 9_000);
        }
        assertTrue(bed.sendTargets.contains(10L), "precondition: the worker in slow start is used");
        bed.policy.superseded();
        bed.sendTargets.clear();
        for (int i = 0; i < 6; i++) {
            bed.request(TestBed.SAFE, i % 2, 20, 9_000);
        }
        assertTrue(bed.sendTargets.size() > 0 && !bed.sendTargets.contains(10L), bed.sendTargets.toString());
    }
}
