package granitefold.policy;

/** Which worker a job goes to. */
record Pick(Knowledge k, Waits waits, SendGate gate, Admission admission) {
    /** A suspect worker comes after all others: what that adds to its cost. */
    static final double SUSPECT_US = 1e12;
    /** Estimates are off, and others pick at the same moment: costs are drawn up to this share higher. */
    static final double SPREAD = 0.1;
    /** What a crossing of zones delays a job by, and what a price of one mean job's worth counts for. */
    static final double CROSSING_US = 5_000, PRICE_US = 2e6;

    /**
     * The worker with the least hinted work of those the send gate lets through; lately full ones last, and
     * those outside our subset, of whose work nobody tells us, only where none within it is free of refusals.
     */
    Node pick(Job job, long now) {
        if (k.reach.stream().noneMatch(n -> !Suspicion.suspect(n, now) && gate.maySend(job, n, now))) {
            admission.spill(job, now);
        }
        Node best = null;
        double least = Double.MAX_VALUE;
        for (Node n : k.reach) {
            double home = (Node.mix(n.id, job.key) >>> 11) * 0x1p-53;
            // a fetch takes room from other keys and time from other fetches: it costs more than its own time
            double cost = (n.wait + waits.run(n, job, now)) * (1 + SPREAD * k.random.nextDouble()) + extras(n)
                    + (Suspicion.suspect(n, now) ? SUSPECT_US : 0) + waits.fetch(n, job) * (1 + home);
            if (cost < least && gate.maySend(job, n, now)) {
                best = n;
                least = cost;
            }
        }
        return best;
    }

    /** What a send costs beside the worker's time: a crossing of zones, a connection to be opened. */
    private double extras(Node n) {
        return (n.zone == k.set.zone() ? 0 : CROSSING_US + PRICE_US * k.set.prices().crossZone())
                + (n.out.size() < n.connections ? 0 : PRICE_US * k.set.prices().handshake());
    }
}
