package granitefold.policy;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;
import java.util.List;

/** Detects workers to avoid: those that refuse or fail at once, and those that send no signal. */
final class OutlierDetection {
    /** How long a refusing worker is avoided; doubled for each refusal in a row, up to this many times. */
    static final long AVOID_US = 300_000, MAX_AVOID_DOUBLINGS = 3;
    /** A worker is silent if a signal is missing this long after this multiple of its expected time. */
    static final double SILENCE_US = 700_000, SILENCE_FACTOR = 2;
    /** If a larger share of the workers is silent, load is the cause and no worker counts as silent. */
    static final double MAX_SILENT_SHARE = 0.5;

    private OutlierDetection() { }

    static boolean isSuspected(TrackedWorker worker, long now) {
        return worker.avoidedUntil > now || worker.silent;
    }

    /**
     * Counts consecutive refusals and errors. They return at once and leave no load, so their worker would
     * attract every job. Covers dead workers still listed, and full connection tables and queues. The
     * drawback: a recovery is noticed late.
     */
    static void recordOutcome(TrackedWorker worker, Attempt attempt, long now) {
        boolean notRestarted = attempt.outcome == Outcome.SERVED && attempt.sentAt < worker.connectFailedAt
                || !worker.openAttempts.isEmpty();
        worker.connectFailedAt = notRestarted ? 0
                : attempt.outcome == Outcome.UNREACHABLE ? now : worker.connectFailedAt;
        if (attempt.outcome.neverRan() && attempt.outcome != Outcome.MOOT
                || attempt.outcome == Outcome.ERROR) {
            if (worker.avoidedUntil <= now) {
                worker.avoidedUntil = now
                        + (AVOID_US << (int) Math.min(worker.consecutiveRefusals++, MAX_AVOID_DOUBLINGS));
            }
            worker.refusedAt = now;
        } else if (attempt.outcome == Outcome.SERVED && attempt.sentAt > worker.refusedAt) {
            // older jobs prove nothing: a draining worker serves them and refuses all others
            worker.consecutiveRefusals = 0;
        }
    }

    /** Sets the time from which an attempt's next signal, expected after {@code afterUs}, is overdue. */
    static void expectSignal(Attempt attempt, double afterUs, long now) {
        attempt.lastSignalAt = now;
        attempt.signalDueAt = now + (long) (SILENCE_US + SILENCE_FACTOR * afterUs);
    }

    /**
     * Updates which workers are silent and returns the jobs stuck on them. Each gets one copy elsewhere, if
     * its effect allows and another worker has room. Covers workers that hang, pause or are cut off. The
     * drawback: jobs of a slow worker run twice.
     */
    static List<Job> stuckJobs(PolicyState state, long now) {
        int ready = 0, silent = 0;
        for (TrackedWorker worker : state.workers.values()) {
            worker.silent = !worker.openAttempts.isEmpty()
                    && worker.openAttempts.stream().anyMatch(attempt -> now > attempt.signalDueAt
                    && worker.lastSignalAt <= attempt.lastSignalAt);
            ready += worker.state == State.READY ? 1 : 0;
            silent += worker.state == State.READY && worker.silent ? 1 : 0;
        }
        boolean few = silent <= MAX_SILENT_SHARE * ready;
        state.workers.values().forEach(worker -> worker.silent &= few);
        return state.workers.values().stream().filter(worker -> worker.silent)
                .flatMap(worker -> worker.openAttempts.stream().map(attempt -> attempt.job)).toList();
    }
}
