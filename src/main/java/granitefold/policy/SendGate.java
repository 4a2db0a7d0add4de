package granitefold.policy;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;

/** What a send must keep: drains, fit, attempts, time, effect and cold budgets. */
record SendGate(Knowledge k, ColdBudget cold) {
    /** The last this much of a client's time is kept for the final answer, besides two ticks. */
    static final long ANSWER_US = 5_000;
    /** A repeat is so long on its way at the most: the slack that the protocol gives each time limit. */
    static final long WAY_US = 50_000;

    /** The worker is listed as ready and of a kind that runs the job. */
    boolean takes(Node n, Job job) {
        int only = job.type(k.set).kind();
        return n.state == State.READY && (only < 0 || only == n.kind);
    }

    /** The one gate for every send: drain, fit, attempts, time, effect and cold budget. */
    boolean maySend(Job job, Node n, long now) {
        return takes(n, job) && timeLeft(job, now) > 0 && effectAllows(job, n, now)
                && cold.allows(job, n, now);
    }

    /** Whether the attempts so far leave room for another one on this worker. */
    private boolean effectAllows(Job job, Node n, long now) {
        return job.attempts.size() < Math.max(1, k.set.limits().maxAttempts())
                && (job.open == 0 || k.set.limits().secondCopies())
                && mayRepeat(job, n, now + k.set.tickUs());
    }

    /** Whether another attempt may run on this worker (null: on any) beside those that may have run. */
    boolean mayRepeat(Job job, Node n, long now) {
        JobClass type = job.type(k.set);
        return job.attempts.isEmpty() || type.effect() == Effect.SAFE
                || job.attempts.stream().noneMatch(a -> a.mayHaveRun()
                && (type.effect() == Effect.UNSAFE || window(job, now) <= 0
                || n != null && (type.group() == Group.ZONE && n.zone != a.node.zone
                || type.group() == Group.CELL && n.cell != a.node.cell)));
    }

    /** Time in which a repeat must be under way, to come within the window of all that may have run. */
    long window(Job job, long now) {
        JobClass type = job.type(k.set);
        long keep = type.effect() == Effect.KEYED ? type.dedupWindowUs() - WAY_US : Long.MAX_VALUE / 2;
        return job.attempts.stream().filter(Attempt::mayHaveRun).mapToLong(a -> a.sentAt + keep - now).min()
                .orElse(Long.MAX_VALUE);
    }

    /** Time in which a send still makes sense: the client's, less what the final answer needs. */
    long timeLeft(Job job, long now) {
        return job.deadline - ANSWER_US - 2 * k.set.tickUs() - now;
    }
}
