package granitefold.policy;

import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The list of workers, and those of them that this dispatcher goes to. */
record Subset(Knowledge k, ColdBudget cold) {
    /** Subset: dispatchers that share a worker (in most fleets all), and workers of each at the least. */
    static final double SHARERS = 16, SUBSET_LEAST = 6;
    /** First and longest pause before asking for the list again after a failed call. */
    static final long ASK_FIRST_US = 200_000, ASK_MOST_US = 3_000_000;

    void listed(long now, ListUpdate news, List<Worker> entries) {
        if (news == ListUpdate.FAILED) {
            // a dropped or failed subscription: ask anew, with growing pauses, or the old list turns stale
            long pause = k.askPause + k.random.nextLong(k.askPause);
            k.askPause = Math.min(ASK_MOST_US, k.askPause * 2);
            k.out.timer(Math.min(pause, Math.max(1, k.set.rules().askWithinUs() / 2)),
                    DispatchPolicy.TIMER_ASK);
            return;
        }
        if (news != ListUpdate.SAVED) {
            k.askPause = ASK_FIRST_US;
        }
        if (news != ListUpdate.CHANGES) {
            k.nodes.values().forEach(n -> n.state = State.GONE);
        }
        for (Worker w : entries) {
            k.nodes.computeIfAbsent(w.id(), Node::new).update(w);
        }
        k.nodes.values().removeIf(n -> n.state == State.GONE && n.out.isEmpty());
        List<Node> all = new ArrayList<>(k.nodes.values());
        all.removeIf(n -> n.state == State.GONE);
        k.mostSize = Math.max(k.mostSize, all.stream().mapToDouble(n -> n.size).sum());
        long key = all.stream().mapToLong(n -> Node.mix(n.id, 0)).sum();
        if (key != k.listKey) {
            k.listKey = key;
            subset(all);
        }
        k.near = all.stream().filter(n -> n.mine || cold.isCold(n, now)).toList();
    }

    /**
     * Deterministic subsetting: each dispatcher in turn takes the next few workers of one shuffled order, and
     * of another when that is used up, so every worker is shared by as many. Few dispatchers share all. Keeps
     * connections few, and lets a word on queued work reach all whom it concerns. Harm: less choice.
     */
    private void subset(List<Node> all) {
        int count = all.size();
        int each = (int) Math.min(count, Math.max(SUBSET_LEAST, Math.ceil(SHARERS * count / k.siblings)));
        for (Node n : k.nodes.values()) {
            n.sharers.clear();
            n.mine = false;
        }
        for (int i = 0; i < k.siblings * each; i++) {
            int round = i / count;
            if (i % count == 0) {
                all.forEach(n -> n.order = Node.mix(n.id, ~round));
                all.sort(Comparator.comparingLong(n -> n.order));
            }
            Node n = all.get(i % count);
            n.mine |= i / each == k.set.selfIndex();
            if (i / each != k.set.selfIndex()) {
                n.sharers.add(i / each);
            }
        }
    }
}
