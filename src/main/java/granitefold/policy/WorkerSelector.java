package granitefold.policy;

/** Selects the worker that a job is sent to. */
record WorkerSelector(PolicyState state, WaitEstimator waits, SendConstraints constraints,
        Admission admission) {
    /** Cost added for a suspected outlier, which is selected only after all other workers. */
    static final double SUSPECT_PENALTY_US = 1e12;
    /**
     * Costs are raised by a random share up to this: estimates are off, and others select at the same moment.
     */
    static final double COST_JITTER = 0.1;
    /**
     * Delay caused by crossing zones, and the delay that a price of one mean job's worth is equivalent to.
     */
    static final double CROSS_ZONE_US = 5_000, PRICE_UNIT_US = 2e6;

    /**
     * Returns the permitted worker with the least cost: expected time for the job, fetch, prices and a random
     * share. Suspected outliers come last. Workers outside the subset, whose load nobody reports, are
     * considered only if every candidate is suspected or not permitted. Returns null if no worker may take
     * the job.
     */
    TrackedWorker select(Job job, long now) {
        if (state.candidates.stream().noneMatch(w -> !OutlierDetection.isSuspected(w, now)
                && constraints.maySend(job, w, now))) {
            admission.addWorkersOutsideSubset(job, now);
        }
        TrackedWorker best = null;
        double leastCost = Double.MAX_VALUE;
        for (TrackedWorker worker : state.candidates) {
            double affinity = (TrackedWorker.hash(worker.id, job.key) >>> 11) * 0x1p-53;
            // a fetch displaces other keys and slows other fetches: it costs more than its own time
            double cost = (worker.expectedWaitUs + waits.runUs(worker, job, now))
                    * (1 + COST_JITTER * state.random.nextDouble()) + sendCostUs(worker)
                    + (OutlierDetection.isSuspected(worker, now) ? SUSPECT_PENALTY_US : 0)
                    + waits.fetchUs(worker, job) * (1 + affinity);
            if (cost < leastCost && constraints.maySend(job, worker, now)) {
                best = worker;
                leastCost = cost;
            }
        }
        return best;
    }

    /** Returns the cost of a send beyond the worker's time: crossing zones and opening a connection. */
    private double sendCostUs(TrackedWorker worker) {
        return (worker.zone == state.settings.zone() ? 0
                : CROSS_ZONE_US + PRICE_UNIT_US * state.settings.prices().crossZone())
                + (worker.openAttempts.size() < worker.connections ? 0
                : PRICE_UNIT_US * state.settings.prices().handshake());
    }
}
