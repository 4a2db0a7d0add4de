package granitefold;

import granitefold.recovery.Learned;
import java.util.List;
import java.util.stream.LongStream;

/** What an instance learned as a value, and a former life's taken in: it copies, and decides nothing. */
final class FormerLife {
    private FormerLife() { }

    static Learned learned(Decide d, long now) {
        List<Learned.Kind> of = d.kinds.entrySet().stream().map(e -> new Learned.Kind(e.getKey(),
                e.getValue().sum(), e.getValue().weight(), d.kindSlots.getOrDefault(e.getKey(), 0))).toList();
        List<Learned.Peer> peers = d.nodes.values().stream().filter(n -> n.state != Dispatcher.State.GONE)
                .map(n -> new Learned.Peer(n.id, n.kind, n.startedAt, n.lostAt, n.speed.sum(),
                n.speed.weight(), n.slots, d.coldSent(n, now), n.keys())).toList();
        List<Learned.Bucket> full = d.buckets.entrySet().stream().map(e -> new Learned.Bucket(e.getKey(),
                LongStream.of(e.getValue().used).boxed().toList(), e.getValue().credited,
                e.getValue().refilledAt)).toList();
        return new Learned(now, d.fetchTime, d.kept, d.meanWork, d.worksSeen, of, peers, full, List.of());
    }

    static void restore(Decide d, long now, Learned l) {
        if (l.works() > d.worksSeen) {
            d.meanWork = l.meanWork();
            d.worksSeen = l.works();
            d.fetchTime = l.fetchUs();
            d.kept = l.kept();
        }
        for (Learned.Kind k : l.kinds()) {
            d.kinds.computeIfAbsent(k.kind(), x -> new Speed(Decide.KIND_MEMORY)).restore(k.sum(), k.weight());
            d.kindSlots.merge(k.kind(), k.slots(), Math::max);
        }
        for (Learned.Peer p : l.peers()) {
            Node n = d.nodes.get(p.id());
            if (n != null) {
                n.speed.restore(p.sum(), p.weight());
                n.slots = Math.max(n.slots, p.slots());
                n.restoreKeys(p.kept());
                n.lostAt = Math.max(n.lostAt, Math.min(now, p.lostAt()));
                if (p.work() > 0) {
                    // as if it were sent just now: a cold budget is never spent twice
                    n.coldSends.addLast(new double[] {now, p.work()});
                }
            }
        }
        for (Learned.Bucket k : l.buckets()) {
            Decide.Bucket b = d.bucket(k.tenant(), now);
            for (int owner = 0; b != null && owner < Math.min(b.used.length, k.used().size()); owner++) {
                // our own use of this life comes on top, as where gossip brings the former one back
                b.merge(owner, k.used().get(owner) + (owner == d.me() ? b.sinceStart : 0), 0);
            }
            if (b != null) {
                double since = Math.max(0, now - k.refilledAt()) / 1e6;
                b.merge(0, 0, Math.min(k.credited() + b.rate * since, b.total + b.capacity));
            }
        }
    }
}
