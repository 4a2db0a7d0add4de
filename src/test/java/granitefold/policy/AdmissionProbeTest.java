package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import org.junit.jupiter.api.Test;

/** Probes of a dispatcher whose siblings report that all workers are full. */
class AdmissionProbeTest {
    private static final int WORKERS = 12, JOBS = 30, WORK_UNITS = 30_000;

    private final TestBed bed = TestBed.inFleet(0, 100);

    AdmissionProbeTest() {
        Worker[] listed = new Worker[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            listed[i] = new Worker(1000 + 7 * i, 1, State.READY, 0, 0, 0, 0);
        }
        bed.updateList(ListUpdate.WHOLE, listed);
    }

    /** A sibling reports again that it has much work on every worker. */
    private void receiveReportThatAllAreFull() {
        byte[] message = SiblingMessage.begin();
        int length = SiblingMessage.MAGIC.length;
        for (int i = 0; i < WORKERS; i++) {
            length = SiblingMessage.putWorkerLoad(message, length, 1000 + 7 * i, (double) WORK_UNITS * SiblingMessage.WORK_UNIT_US, JOBS);
        }
        bed.policy.messageReceived(bed.now, 1, SiblingMessage.end(message, length));
    }

    private void sendRequests(int requests, long intervalMs) {
        for (int i = 0; i < requests; i++) {
            receiveReportThatAllAreFull();
            bed.request(TestBed.SAFE, i % 2, 100, 9_000);
            bed.advance(intervalMs);
        }
    }

    /** Wrong load reports, or estimates based on them, kept a dispatcher from sending any attempt for 10 s and more. */
    @Test
    void refusingAllRequestsLeadsToAProbe() {
        sendRequests(15, 100);
        assertTrue(bed.sendTargets.size() > 0, "15 consecutive requests were refused without a probe");
    }

    /** With two probes waiting, each further one takes at least 20 refusals; before the first one there are at most 10, in one second. */
    @Test
    void waitingProbesMakeFurtherProbesRarer() {
        int requests = 200;
        sendRequests(requests, 100);
        assertTrue(bed.sendTargets.size() <= 2 + requests / 20,
                bed.sendTargets.size() + " of " + requests + " were admitted although none had started");
    }

    /** Recent feedback from own jobs makes a probe unnecessary. */
    @Test
    void noProbeWhileOwnJobsGiveFeedback() {
        sendRequests(15, 100);
        int sent = bed.sendTargets.size();
        for (int i = 0; i < 10; i++) {
            bed.policy.state.waitErrorAt = bed.now;
            sendRequests(4, 100);
        }
        assertEquals(sent, bed.sendTargets.size());
    }
}
