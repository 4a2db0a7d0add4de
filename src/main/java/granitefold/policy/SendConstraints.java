package granitefold.policy;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;

/**
 * Checks what every send must respect: drains, job kind, attempt limits, time, effect and slow-start budgets.
 */
record SendConstraints(PolicyState state, SlowStartBudget slowStart) {
    /** Part of a client's time that is reserved for the final answer, in addition to two ticks. */
    static final long ANSWER_RESERVE_US = 5_000;
    /** Longest time a repeat is on its way: the tolerance that the protocol allows on each time limit. */
    static final long MAX_TRANSIT_US = 50_000;

    /** Returns whether the worker is listed as ready and of a kind that runs the job. */
    boolean accepts(TrackedWorker worker, Job job) {
        int requiredKind = job.jobClass(state.settings).kind();
        return worker.state == State.READY && (requiredKind < 0 || requiredKind == worker.kind);
    }

    /** Returns whether the job may be sent to the worker now. Every send passes this check. */
    boolean maySend(Job job, TrackedWorker worker, long now) {
        return accepts(worker, job) && timeLeftUs(job, now) > 0 && effectAllows(job, worker, now)
                && slowStart.allows(job, worker, now);
    }

    /** Returns whether the attempts so far permit another one on this worker. */
    private boolean effectAllows(Job job, TrackedWorker worker, long now) {
        return job.attempts.size() < Math.max(1, state.settings.limits().maxAttempts())
                && (job.openAttempts == 0 || state.settings.limits().secondCopies())
                && mayRepeat(job, worker, now + state.settings.tickUs());
    }

    /**
     * Returns whether another attempt may run on this worker (null: on any) beside those that may have run.
     */
    boolean mayRepeat(Job job, TrackedWorker worker, long now) {
        JobClass jobClass = job.jobClass(state.settings);
        return job.attempts.isEmpty() || jobClass.effect() == Effect.SAFE
                || job.attempts.stream().noneMatch(a -> a.mayHaveRun()
                && (jobClass.effect() == Effect.UNSAFE || repeatWindowUs(job, now) <= 0
                || worker != null && (jobClass.group() == Group.ZONE && worker.zone != a.worker.zone
                || jobClass.group() == Group.CELL && worker.cell != a.worker.cell)));
    }

    /**
     * Returns the time within which a repeat must be sent, to arrive within the deduplication window of every
     * attempt that may have run.
     */
    long repeatWindowUs(Job job, long now) {
        JobClass jobClass = job.jobClass(state.settings);
        long dedupUs = jobClass.effect() == Effect.KEYED ? jobClass.dedupWindowUs() - MAX_TRANSIT_US
                : Long.MAX_VALUE / 2;
        return job.attempts.stream().filter(Attempt::mayHaveRun).mapToLong(a -> a.sentAt + dedupUs - now)
                .min().orElse(Long.MAX_VALUE);
    }

    /** Returns the time in which a send is still useful: the client's, less what the final answer needs. */
    long timeLeftUs(Job job, long now) {
        return job.deadline - ANSWER_RESERVE_US - 2 * state.settings.tickUs() - now;
    }
}
