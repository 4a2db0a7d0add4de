package granitefold.core;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import java.util.List;

/**
 * The final check before a request is accepted, sent, repeated or answered, and before the process stops. An action that would break
 * a {@link Rule} is refused, counted and logged.
 */
final class ActionGuard {
    private final CoreContext core;
    private final List<JobClass> classes;
    private final boolean secondCopies;
    private boolean closing;
    private long violations;

    /** Invariants that hold whatever the other parts of the core decide. */
    enum Rule {
        /** No two attempts of one request at once. */
        TWO_ATTEMPTS_OUT,
        /** No further attempt of an unsafe job if an earlier one may have run. */
        UNSAFE_REPEAT,
        /** No attempt under the id of an ended request that may have run. */
        ID_SENT_TWICE,
        /** No two final answers to one request. */
        ANSWERED_TWICE,
        /** No stop of the process with answers owed. */
        STOPPED_OWING
    }

    ActionGuard(CoreContext core, List<JobClass> classes, boolean secondCopies) {
        this.core = core;
        this.classes = classes;
        this.secondCopies = secondCopies;
    }

    /** Returns the number of actions refused because they would have broken a rule. */
    long violations() {
        return violations;
    }

    /** Stops accepting requests. */
    void close() {
        closing = true;
    }

    /** Whether a request may be accepted: not after the time at which the last answers are due. */
    boolean mayAccept() {
        return !closing && core.now < core.answersDueAt;
    }

    /** Whether an attempt, the first or a repeat, may be written to its worker. */
    boolean maySend(Attempt attempt) {
        RequestContext request = attempt.context;
        if (request.attempts.stream().anyMatch(other -> other != attempt && other.outcome == null) && !secondCopies) {
            return violated(Rule.TWO_ATTEMPTS_OUT, request);
        }
        if (classes.get(request.submission().jobClass()).effect() == Effect.UNSAFE
                && request.attempts.stream().anyMatch(other -> other != attempt && (other.outcome == null || !other.outcome.neverRan()))) {
            return violated(Rule.UNSAFE_REPEAT, request);
        }
        if (core.requestIds.mayHaveRun(request.submission().name(), core.now)) {
            return violated(Rule.ID_SENT_TWICE, request);
        }
        // while the connection was opened, the client may have left, the worker been drained, or a time limit passed
        return !request.finished() && attempt.worker.state == State.READY && core.now < attempt.startsBy && core.now < attempt.expiresAt;
    }

    /** Whether a request may be given a final answer. */
    boolean mayAnswer(RequestContext request) {
        return !request.finished() || violated(Rule.ANSWERED_TWICE, request);
    }

    /** Whether the process may stop with this number of requests that are owed an answer. */
    boolean mayStop(int owed) {
        return owed == 0 || violated(Rule.STOPPED_OWING, owed + " requests");
    }

    private boolean violated(Rule rule, RequestContext request) {
        return violated(rule, request.submission().name());
    }

    private boolean violated(Rule rule, String what) {
        violations++;
        core.effects.add(new granitefold.core.Effect.Log(LogEvent.RULE_BROKEN, rule, what));
        return false;
    }
}
