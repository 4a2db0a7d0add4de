package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import org.junit.jupiter.api.Test;

/** Of a dispatcher whose siblings' words say that all workers are full. */
class AdmissionProbeTest {
    private static final int WORKERS = 12, JOBS = 30, WORK_UNITS = 30_000;

    private final Bench bench = Bench.numbered(0, 100);

    AdmissionProbeTest() {
        Worker[] listed = new Worker[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            listed[i] = new Worker(1000 + 7 * i, 1, State.READY, 0, 0, 0, 0);
        }
        bench.list(ListUpdate.WHOLE, listed);
    }

    /** Every sibling says once more that it has much work at every worker. */
    private void heardThatAllAreFull() {
        byte[] m = SiblingMessage.begin();
        int at = SiblingMessage.MAGIC.length;
        for (int i = 0; i < WORKERS; i++) {
            at = SiblingMessage.putWork(m, at, 1000 + 7 * i, (double) WORK_UNITS * SiblingMessage.WORK_UNIT, JOBS);
        }
        bench.module.messageReceived(bench.now, 1, SiblingMessage.end(m, at));
    }

    private void ask(int requests, long apartMs) {
        for (int i = 0; i < requests; i++) {
            heardThatAllAreFull();
            bench.request(Bench.SAFE, i % 2, 100, 9_000);
            bench.pass(apartMs);
        }
    }

    /** Words that were wrong, or estimates made of them, kept a dispatcher from ever trying: 10 s and more without an attempt. */
    @Test
    void aDispatcherThatRefusesAllTestsItsBelief() {
        ask(15, 100);
        assertTrue(bench.sentTo.size() > 0, "15 requests in a row were refused, and nothing was sent that could have told otherwise");
    }

    /** With two that wait there are at least 20 refusals to each of the next ones, and no more than 10 in the second before the first. */
    @Test
    void aProbeThatWaitsMakesTheNextOneRarer() {
        int requests = 200;
        ask(requests, 100);
        assertTrue(bench.sentTo.size() <= 2 + requests / 20, bench.sentTo.size() + " of " + requests + " were admitted though none had started");
    }

    /** What was just heard of one's own jobs needs no test. */
    @Test
    void nothingIsProbedWhileOwnJobsTell() {
        ask(15, 100);
        int sent = bench.sentTo.size();
        for (int i = 0; i < 10; i++) {
            bench.module.k.driftAt = bench.now;
            ask(4, 100);
        }
        assertEquals(sent, bench.sentTo.size());
    }
}
