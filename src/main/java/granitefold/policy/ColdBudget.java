package granitefold.policy;

import java.util.stream.IntStream;

/** What all dispatchers together may send to a worker that has just started, and our part of it. */
record ColdBudget(Knowledge k) {
    /** Share of the cold budget used: hints are rough, and one more may think itself an owner. */
    static final double COLD_SAFETY = 0.5;

    boolean isCold(Node n, long now) {
        return n.youngestStart() != 0 && now - n.youngestStart() < k.set.rules().slowStartUs();
    }

    /** Share of its capacity that a worker has by its age, at the least. */
    double warmth(Node n, long now) {
        double from = k.set.rules().slowStartFrom();
        double age = Math.max(0, now - n.youngestStart());
        return isCold(n, now) ? from + (1 - from) * age / k.set.rules().slowStartUs() : 1;
    }

    /** Jobs a second that are a worker's part, by its size, of what quotas promise; 0 where none are told. */
    double promised(Node n) {
        return k.fleetRate > 0 && k.mostSize > 0 ? k.fleetRate * n.size / k.mostSize : 0;
    }

    /**
     * What a cold worker may be sent in any span, in mean jobs. The fleet does at least what its quotas
     * promise, so a worker's part by size errs to the low side; without quotas it counts as one core.
     */
    private double coldJobs(Node n, long now) {
        double perUs = promised(n) > 0 ? promised(n) / 1e6 : 1 / k.meanWork;
        return COLD_SAFETY * k.set.rules().overloadMultiple() * k.set.rules().overloadWindowUs()
                * perUs * warmth(n, now);
    }

    double sent(Node n, long now) {
        return n.coldSends.stream().filter(s -> s[0] > now - k.set.rules().overloadWindowUs())
                .mapToDouble(s -> s[1]).sum();
    }

    /** We are an owner, and our part, with rejected sends counted, has room for the job. */
    boolean allows(Job job, Node n, long now) {
        if (!isCold(n, now)) {
            return true;
        }
        return owns(n, now) && job.work + sent(n, now) <= coldJobs(n, now) * k.meanWork / owners(n, now);
    }

    /**
     * Dispatchers that share a cold worker's budget: as many as get a mean job's worth each. Fewer than all
     * where there are many, since no job fits into a small part. Those of the least hash are the owners.
     */
    private int owners(Node n, long now) {
        return (int) Math.max(1, Math.min(k.siblings, coldJobs(n, now)));
    }

    private boolean owns(Node n, long now) {
        if (n.rank < 0) {
            long own = Node.mix(n.id, k.set.selfIndex());
            n.rank = (int) IntStream.range(0, k.siblings).filter(s -> Node.mix(n.id, s) < own).count();
        }
        return !k.relieved && n.rank < owners(n, now);
    }
}
