package granitefold.policy;

import java.util.stream.IntStream;

/**
 * Limits what all dispatchers together send to a worker that has just started, and gives each of them its
 * part.
 */
record SlowStartBudget(PolicyState state) {
    /**
     * Share of the budget that is used: hints are rough, and a dispatcher may wrongly consider itself an
     * owner.
     */
    static final double SAFETY_SHARE = 0.5;

    boolean inSlowStart(TrackedWorker worker, long now) {
        return worker.latestPossibleStart() != 0
                && now - worker.latestPossibleStart() < state.settings.rules().slowStartUs();
    }

    /** Returns the share of its capacity that a worker of this age has at least. */
    double capacityShare(TrackedWorker worker, long now) {
        double from = state.settings.rules().slowStartFrom();
        double age = Math.max(0, now - worker.latestPossibleStart());
        return inSlowStart(worker, now) ? from + (1 - from) * age / state.settings.rules().slowStartUs() : 1;
    }

    /**
     * Returns the worker's part, by its size, of the jobs per second that quotas promise; 0 without quotas.
     */
    double quotaRatePerS(TrackedWorker worker) {
        return state.fleetRatePerS > 0 && state.maxTotalSize > 0
                ? state.fleetRatePerS * worker.size / state.maxTotalSize : 0;
    }

    /**
     * Returns what a worker in slow start may be sent within any overload window, in mean jobs. The fleet can
     * do at least what its quotas promise, so a part by size errs on the low side; without quotas a worker
     * counts as one core.
     */
    private double budgetJobs(TrackedWorker worker, long now) {
        double jobsPerUs = quotaRatePerS(worker) > 0 ? quotaRatePerS(worker) / 1e6 : 1 / state.meanWorkUs;
        return SAFETY_SHARE * state.settings.rules().overloadMultiple()
                * state.settings.rules().overloadWindowUs() * jobsPerUs * capacityShare(worker, now);
    }

    double sentWorkUs(TrackedWorker worker, long now) {
        return worker.slowStartSends.stream()
                .filter(s -> s[0] > now - state.settings.rules().overloadWindowUs())
                .mapToDouble(s -> s[1]).sum();
    }

    /**
     * Returns whether this dispatcher is an owner and its part, rejected sends included, has room for the
     * job.
     */
    boolean allows(Job job, TrackedWorker worker, long now) {
        if (!inSlowStart(worker, now)) {
            return true;
        }
        return isOwner(worker, now) && job.workUs + sentWorkUs(worker, now)
                <= budgetJobs(worker, now) * state.meanWorkUs / ownerCount(worker, now);
    }

    /**
     * Returns the number of dispatchers that share a worker's budget: as many as get a mean job's worth each.
     * In a large fleet that is fewer than all, since no job fits into a small part. The owners are those of
     * the least hash.
     */
    private int ownerCount(TrackedWorker worker, long now) {
        return (int) Math.max(1, Math.min(state.siblings, budgetJobs(worker, now)));
    }

    private boolean isOwner(TrackedWorker worker, long now) {
        if (worker.ownerRank < 0) {
            long ownHash = TrackedWorker.hash(worker.id, state.settings.selfIndex());
            worker.ownerRank = (int) IntStream.range(0, state.siblings)
                    .filter(s -> TrackedWorker.hash(worker.id, s) < ownHash).count();
        }
        return !state.superseded && worker.ownerRank < ownerCount(worker, now);
    }
}
