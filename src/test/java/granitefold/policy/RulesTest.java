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

/** The four rules, each at its gate. */
class RulesTest {

    @Test
    void everyOutcomeAgainstEveryEffect() {
        for (Outcome outcome : Outcome.values()) {
            for (int type = Bench.SAFE; type <= Bench.UNSAFE; type++) {
                if (outcome == Outcome.SERVED) {
                    continue;
                }
                Bench b = new Bench(1, false).three();
                long id = b.request(type, 0, 100, 9_000);
                long first = b.lastWorker();
                b.end(id, 0, outcome);
                String what = outcome + " of class " + type;
                if (type == Bench.UNSAFE && !outcome.neverRan()) {
                    assertEquals(1, b.sentTo.size(), what);
                    assertEquals(1, b.count("fail"), what);
                    assertEquals(0, b.count("refuse"), what);
                    continue;
                }
                assertEquals(2, b.sentTo.size(), what);
                if (!outcome.neverRan() && type == Bench.KEYED_CELL) {
                    assertEquals(first, b.lastWorker(), what);
                }
                if (!outcome.neverRan() && type == Bench.KEYED_ZONE) {
                    assertEquals(first == 12, b.lastWorker() == 12, what);
                }
            }
        }
    }

    @Test
    void keyedIsNotResentPastItsWindowAndThenFailsUnlessAnyoneMayRepeat() {
        for (int type : new int[] {Bench.KEYED_ALL, Bench.KEYED_ZONE}) {
            Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
            long id = b.request(type, 0, 100, 9_000);
            b.now += (Bench.KEEP_MS + 1) * 1000;
            b.end(id, 0, Outcome.ERROR);
            b.pass(9_000);
            assertEquals(1, b.sentTo.size());
            assertEquals(type == Bench.KEYED_ALL ? 1 : 0, b.count("refuse"));
            assertEquals(type == Bench.KEYED_ALL ? 0 : 1, b.count("fail"));
        }
    }

    @Test
    void attemptsNeverPassTheirCap() {
        Bench b = new Bench(1, false).three();
        long id = b.request(Bench.SAFE, 0, 100, 9_000);
        for (int i = 0; i < 4; i++) {
            b.end(id, i, Outcome.ERROR);
        }
        assertEquals(4, b.sentTo.size());
        assertEquals(1, b.count("refuse") + b.count("fail"));
    }

    @Test
    void heldRequestIsAnsweredBeforeItsClientGivesUp() {
        Bench b = new Bench(1, false);
        long before = b.now;
        b.request(Bench.UNSAFE, 0, 100, 300);
        while (b.count("refuse") == 0 && b.now < before + 400_000) {
            b.pass(1);
        }
        assertEquals(1, b.count("refuse"));
        assertTrue(b.now <= before + 300_000, "in time");
        b.pass(1_000);
        assertEquals(1, b.log.stream().filter(l -> l.startsWith("refuse") || l.startsWith("fail")).count());
    }

    @Test
    void requestWithNoTimeLeftIsAnsweredAtOnce() {
        Bench b = new Bench(1, false).three();
        b.request(Bench.SAFE, 0, 100, 1);
        assertEquals(1, b.count("refuse"));
        assertEquals(0, b.count("send"));
    }

    @Test
    void timeOutAtTheDeadlineFailsWhatMayHaveRun() {
        Bench b = new Bench(1, false).three();
        long id = b.request(Bench.UNSAFE, 0, 100, 500);
        b.now += 500_000;
        b.end(id, 0, Outcome.TIMED_OUT);
        assertEquals(1, b.count("fail"));
        b.end(id, 0, Outcome.TIMED_OUT);
        assertEquals(1, b.count("fail"));
    }

    @Test
    void nothingGoesToADrainingOrGoneOrUnlistedWorker() {
        Bench b = new Bench(1, false).three();
        b.list(ListUpdate.CHANGES, new Worker(10, 1, State.DRAINING, 0, 0, 0, 0),
                new Worker(11, 1, State.GONE, 0, 0, 1, 0));
        for (int i = 0; i < 5; i++) {
            b.request(Bench.SAFE, 0, 100, 9_000);
            assertEquals(12, b.lastWorker());
        }
        b.list(ListUpdate.WHOLE, Bench.worker(11, 0, 1));
        b.request(Bench.SAFE, 0, 100, 9_000);
        assertEquals(11, b.lastWorker());
        b.list(ListUpdate.WHOLE);
        int sent = b.sentTo.size();
        b.request(Bench.SAFE, 0, 100, 500);
        b.pass(600);
        assertEquals(sent, b.sentTo.size());
        assertEquals(1, b.count("refuse"));
    }

    @Test
    void coldBudgetHoldsOverAnySpanForOneAndForManyDispatchers() {
        double[] sent = new double[2];
        for (int many = 0; many < 2; many++) {
            Bench b = new Bench(many == 0 ? 1 : 4, false);
            // warm capacity as judged: 10 jobs a second x 50 ms = half a core
            b.list(ListUpdate.WHOLE, new Worker(10, 1, State.READY, b.now - 1, 0, 0, 0));
            for (int i = 0; i < 100; i++) {
                b.request(Bench.SAFE, 0, 50, 9_000);
            }
            sent[many] = b.sentTo.size() * 50_000.0;
        }
        double budget = 4 * 0.25 * 0.5e6;
        assertTrue(sent[0] > 0 && sent[0] <= budget, "one: " + sent[0]);
        assertTrue(sent[1] > 0 && sent[1] <= budget / 4, "of four: " + sent[1]);
    }

    @Test
    void rejectedSendsSpendTheColdBudgetUntilTheSpanIsOver() {
        Bench b = new Bench(1, false);
        b.list(ListUpdate.WHOLE, new Worker(10, 1, State.READY, b.now - 1, 0, 0, 0));
        for (int i = 0; i < 20; i++) {
            long id = b.request(Bench.SAFE, i % 2, 50, 200);
            for (int attempt = 0; attempt < 4; attempt++) {
                b.end(id, attempt, Outcome.FULL);
            }
        }
        int sent = b.sentTo.size();
        assertTrue(sent > 0 && sent * 50_000.0 <= 0.5e6, "sent " + sent);
        b.pass(1_100);
        b.request(Bench.SAFE, 0, 50, 9_000);
        assertEquals(sent + 1, b.sentTo.size(), "the span has passed");
    }

    @Test
    void oneHeavyJobDoesNotGoToAColdWorker() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        b.request(Bench.SAFE, 0, 50, 9_000);
        b.list(ListUpdate.CHANGES, new Worker(20, 1, State.READY, b.now - 1, 0, 0, 0));
        b.request(Bench.SAFE, 0, 5_000, 9_900);
        assertNotEquals(20, b.lastWorker());
    }

    @Test
    void workerThatCouldNotBeReachedIsTakenAsColdFromThen() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        long id = b.request(Bench.SAFE, 0, 50, 200);
        b.end(id, 0, Outcome.UNREACHABLE);
        b.pass(2_500);
        int before = b.sentTo.size();
        for (int i = 0; i < 13; i++) {
            b.request(Bench.SAFE, i % 2, 50, 9_000);
        }
        int sent = b.sentTo.size() - before;
        assertTrue(sent > 0 && sent < 13, "sent " + sent);
    }

    @Test
    void fullConnectionTableIsNotTakenForARestart() {
        Bench b = new Bench(1, false).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0));
        long running = b.request(Bench.SAFE, 0, 50, 9_000);
        long turnedAway = b.request(Bench.SAFE, 0, 50, 200);
        b.end(turnedAway, 0, Outcome.UNREACHABLE);
        b.pass(2_500);
        b.end(running, 0, Outcome.SERVED);
        int before = b.sentTo.size();
        for (int i = 0; i < 13; i++) {
            b.request(Bench.SAFE, i % 2, 40, 9_000);
        }
        assertEquals(13, b.sentTo.size() - before, "it went on with what it had, so it is warm");
    }

    @Test
    void withoutSecondCopiesNoTwoAttemptsAreOut() {
        for (boolean copies : new boolean[] {false, true}) {
            Bench b = new Bench(1, false, copies, 7).list(ListUpdate.WHOLE, Bench.worker(10, 0, 0),
                    Bench.worker(11, 0, 0), Bench.worker(12, 0, 0), Bench.worker(13, 0, 0));
            b.request(Bench.SAFE, 0, 100, 9_000);
            b.pass(5_000);
            assertEquals(copies ? 2 : 1, b.sentTo.size(), "copies " + copies);
        }
    }

    /** Two processes of one dispatcher, each with its whole part of a cold worker's budget, would push it over together. */
    @Test
    void aRelievedProcessSendsNothingToAColdWorker() {
        Bench b = new Bench(1, false);
        b.list(ListUpdate.WHOLE, new Dispatcher.Worker(10, 1, Dispatcher.State.READY, b.now - 1_000_000, 0, 0, 0),
                Bench.worker(11, 0, 0));
        for (int i = 0; i < 9 && !b.sentTo.contains(10L); i++) {
            b.request(Bench.SAFE, 0, 20, 9_000);
        }
        assertTrue(b.sentTo.contains(10L), "else this test shows nothing");
        b.module.superseded();
        b.sentTo.clear();
        for (int i = 0; i < 6; i++) {
            b.request(Bench.SAFE, i % 2, 20, 9_000);
        }
        assertTrue(b.sentTo.size() > 0 && !b.sentTo.contains(10L), b.sentTo.toString());
    }
}
