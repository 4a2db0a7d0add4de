package granitefold.policy;

import granitefold.Dispatcher.Pressure;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.WorkerCounts;
import java.util.List;

/** Summarizes an instance's state for the rest of the program. Read-only. */
final class StatusSummary {
    private StatusSummary() { }

    static Pressure pressure(PolicyState state, WaitEstimator waits, long now) {
        int ready = 0, refusing = 0;
        double leastWaitUs = Double.MAX_VALUE;
        for (TrackedWorker worker : state.workers.values()) {
            if (worker.state == State.READY) {
                ready++;
                refusing += worker.avoidedUntil > now ? 1 : 0;
                leastWaitUs = Math.min(leastWaitUs, waits.waitUs(worker, 1, now));
            }
        }
        return new Pressure(ready, refusing, ready == 0 ? 0 : leastWaitUs, state.tightestAllowanceUs);
    }

    static WorkerCounts workerCounts(PolicyState state, long now) {
        List<TrackedWorker> listed = state.workers.values().stream().filter(w -> w.state != State.GONE)
                .toList();
        return new WorkerCounts(listed.size(), (int) listed.stream()
                .filter(w -> w.state != State.READY || OutlierDetection.isSuspected(w, now)).count());
    }
}
