package granitefold.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What siblings tell each other: tenants' use, and their work at the workers that they share. */
record Gossip(Knowledge k, Waits waits, Admission admission) {
    /** Gossip: the paper's interval. */
    static final long GOSSIP_US = 100_000;
    /** A word on a sibling's work counts for so many times the time it takes to do, and so much longer. */
    static final double WORD_TIMES = 3, WORD_US = 1_000_000;
    private static final int MESSAGE_LEAST = 40;

    void soon(long now) {
        if (k.gossipAt == 0) {
            k.gossipAt = now + GOSSIP_US;
            k.out.timer(GOSSIP_US, DispatchPolicy.TIMER_GOSSIP);
        }
    }

    /** Tells what has become of our work at workers, and what changed in buckets to one sibling at random. */
    void round(long now) {
        k.gossipAt = 0;
        k.words.tell(k.set.selfIndex(), -1, null, k.random, k.out);
        for (Node n : k.nodes.values()) {
            if (n.told && now > n.toldUntil) {
                tell(n, -1, now);
            }
            if (!n.out.isEmpty() || n.told) {
                soon(now);
            }
        }
        if (!k.set.limits().siblingMessages() || k.siblings < 2 || k.words.relay < MESSAGE_LEAST) {
            return;
        }
        byte[] m = SiblingMessage.begin();
        int at = SiblingMessage.MAGIC.length;
        int room = (int) Math.min(SiblingMessage.MOST, k.words.relay) - SiblingMessage.ENTRY_MOST;
        List<Map.Entry<Integer, Bucket>> busy = new ArrayList<>(k.buckets.entrySet());
        int first = k.random.nextInt(k.siblings);
        for (int i = busy.size() - 1; i >= 0; i--) {
            Bucket b = busy.get(i).getValue();
            for (int s = 0; s < k.siblings && at <= room; s++) {
                int owner = (first + s) % k.siblings;
                if (b.dirty[owner]) {
                    at = SiblingMessage.putUse(m, at, busy.get(i).getKey(), owner, b.used[owner], b.credited);
                    b.dirty[owner] = false;
                }
            }
        }
        if (at > SiblingMessage.MAGIC.length) {
            int sibling = k.random.nextInt(k.siblings - 1);
            k.out.sendToSibling(sibling < k.set.selfIndex() ? sibling : sibling + 1,
                    SiblingMessage.end(m, at));
            k.words.relay -= at + 1;
        }
    }

    /**
     * Tells those who share a worker what work of ours is there; for a send (of this tenant) at once, with
     * our use of its bucket. Not relayed: it is soon out of date.
     */
    void tell(Node n, int tenant, long now) {
        int held = n.held();
        double speed = waits.speed(n, now);
        double work = n.out.stream().mapToDouble(a -> waits.left(a, speed, now) * speed * a.job.slots).sum();
        n.told = held > 0;
        n.toldUntil = now + (held > 0 ? life(work / held / speed, n.wait) : 0);
        if (k.set.limits().siblingMessages() && !n.sharers.isEmpty()) {
            k.words.due(n, work);
            soon(now);
        }
        Bucket b = admission.bucket(tenant, now);
        if (tenant >= 0 && k.words.tell(k.set.selfIndex(), tenant, b, k.random, k.out) == k.siblings - 1
                && b != null) {
            b.dirty[k.set.selfIndex()] = false;
        }
    }

    /** How long a word counts on jobs that take so long after such a wait. */
    private static long life(double each, double wait) {
        return (long) (WORD_US + wait + WORD_TIMES * each);
    }

    void heard(long now, int from, byte[] m) {
        long[] e = from < 0 || from >= k.siblings || from == k.set.selfIndex() ? null
                : SiblingMessage.read(m, k.set.tenants().size(), k.siblings);
        for (int i = 0; e != null && i < e.length; i += 4) {
            if (e[i] < 0) {
                Node n = k.nodes.get(e[i + 1]);
                if (n != null) {
                    told(n, from, e[i + 2] * SiblingMessage.WORK_UNIT, (int) e[i + 3], now);
                }
                continue;
            }
            Bucket b = admission.bucket((int) e[i], now);
            int owner = (int) e[i + 1];
            // a larger count of ours is of a former life: what was used since the restart comes on top
            boolean former = b != null && owner == k.set.selfIndex() && e[i + 2] > b.used[owner];
            if (b != null && b.merge(owner, e[i + 2] + (former ? b.sinceStart : 0), e[i + 3])) {
                soon(now);
            }
        }
    }

    /** Takes a sibling's word on its work at a worker in place of the last. */
    private void told(Node n, int from, double work, int jobs, long now) {
        n.words.removeIf(w -> w.from() == from);
        if (jobs > 0) {
            double wait = waits.waitOn(n, 1, now);
            double each = work / jobs / waits.speed(n, now);
            n.words.add(new Node.Word(from, jobs, each, now + (long) wait, now + life(each, wait)));
        }
    }
}
