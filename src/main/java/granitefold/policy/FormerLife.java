package granitefold.policy;

import granitefold.Dispatcher;
import granitefold.recovery.LearnedState;
import java.util.List;
import java.util.stream.LongStream;

/** What an instance learned as a value, and a former life's taken in: it copies, and decides nothing. */
final class FormerLife {
    private FormerLife() { }

    static LearnedState learned(Knowledge k, ColdBudget cold, long now) {
        List<LearnedState.Kind> of = k.kinds.entrySet().stream().map(e -> new LearnedState.Kind(e.getKey(),
                e.getValue().sum, e.getValue().count, k.kindSlots.getOrDefault(e.getKey(), 0))).toList();
        List<LearnedState.Worker> workers = k.nodes.values().stream().filter(n -> n.state != Dispatcher.State.GONE)
                .map(n -> new LearnedState.Worker(n.id, n.kind, n.startedAt, n.lostAt, n.speed.sum,
                n.speed.count, n.slots, cold.sent(n, now), n.keys())).toList();
        List<LearnedState.Bucket> full = k.buckets.entrySet().stream().map(e -> new LearnedState.Bucket(e.getKey(),
                LongStream.of(e.getValue().used).boxed().toList(), e.getValue().credited,
                e.getValue().refilledAt)).toList();
        return new LearnedState(now, k.fetchTime, k.kept, k.meanWork, k.worksSeen, of, workers, full, List.of());
    }

    static void restore(Knowledge k, Admission admission, long now, LearnedState l) {
        if (l.works() > k.worksSeen) {
            k.meanWork = l.meanWork();
            k.worksSeen = l.works();
            k.fetchTime = l.fetchUs();
            k.kept = l.kept();
        }
        for (LearnedState.Kind of : l.kinds()) {
            restore(k.kinds.computeIfAbsent(of.kind(), x -> new Speed(Waits.KIND_MEMORY)), of.sum(), of.weight());
            k.kindSlots.merge(of.kind(), of.slots(), Math::max);
        }
        for (LearnedState.Worker p : l.workers()) {
            Node n = k.nodes.get(p.id());
            if (n != null) {
                restore(n.speed, p.sum(), p.weight());
                n.slots = Math.max(n.slots, p.slots());
                n.restoreKeys(p.kept());
                n.lostAt = Math.max(n.lostAt, Math.min(now, p.lostAt()));
                if (p.work() > 0) {
                    // as if it were sent just now: a cold budget is never spent twice
                    n.coldSends.addLast(new double[] {now, p.work()});
                }
            }
        }
        for (LearnedState.Bucket old : l.buckets()) {
            Bucket b = admission.bucket(old.tenant(), now);
            for (int owner = 0; b != null && owner < Math.min(b.used.length, old.used().size()); owner++) {
                // our own use of this life comes on top, as where gossip brings the former one back
                b.merge(owner, old.used().get(owner) + (owner == k.set.selfIndex() ? b.sinceStart : 0), 0);
            }
            if (b != null) {
                double since = Math.max(0, now - old.refilledAt()) / 1e6;
                b.merge(0, 0, Math.min(old.credited() + b.rate * since, b.total + b.capacity));
            }
        }
    }

    /** Takes in what was learned in a former life, with the weight that it still has. */
    private static void restore(Speed speed, double sum, double weight) {
        speed.sum += sum;
        speed.count += weight;
    }
}
