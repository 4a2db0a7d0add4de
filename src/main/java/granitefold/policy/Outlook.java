package granitefold.policy;

import granitefold.Dispatcher.WorkerCounts;
import granitefold.Dispatcher.Pressure;
import granitefold.Dispatcher.State;
import java.util.List;

/** What an instance tells others of how it stands: it reads, and decides nothing. */
final class Outlook {
    private Outlook() { }

    static Pressure pressure(Knowledge k, Waits waits, long now) {
        int ready = 0, full = 0;
        double least = Double.MAX_VALUE;
        for (Node n : k.nodes.values()) {
            if (n.state == State.READY) {
                ready++;
                full += n.fullUntil > now ? 1 : 0;
                least = Math.min(least, waits.waitOn(n, 1, now));
            }
        }
        return new Pressure(ready, full, ready == 0 ? 0 : least, k.tightest);
    }

    static WorkerCounts workerCounts(Knowledge k, long now) {
        List<Node> listed = k.nodes.values().stream().filter(n -> n.state != State.GONE).toList();
        return new WorkerCounts(listed.size(), (int) listed.stream()
                .filter(n -> n.state != State.READY || Suspicion.suspect(n, now)).count());
    }
}
