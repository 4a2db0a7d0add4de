package granitefold.core;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import java.util.List;

/**
 * The one place that says whether a request may be taken, sent, repeated or answered, and the process stopped, now. Whoever decides
 * asks here last. What no one should have asked for is refused, counted and logged as a broken rule.
 */
final class ActionGuard {
    private final CoreContext core;
    private final List<JobClass> classes;
    private final boolean secondCopies;
    private boolean closing;
    private long violations;

    /** What must not happen, whoever asks for it. */
    enum Rule {
        /** Two attempts of one request at once. */
        TWO_ATTEMPTS_OUT,
        /** Another attempt of a class that must not run twice, where the one before may have run. */
        UNSAFE_REPEAT,
        /** Two final answers to one request. */
        ANSWERED_TWICE,
        /** An end of the process with answers owed. */
        STOPPED_OWING
    }

    ActionGuard(CoreContext core, List<JobClass> classes, boolean secondCopies) {
        this.core = core;
        this.classes = classes;
        this.secondCopies = secondCopies;
    }

    /** How often something was asked for that would have broken a rule. */
    long violations() {
        return violations;
    }

    /** From now on nothing new is taken. */
    void close() {
        closing = true;
    }

    /** Whether a request may be taken in: by the time of the last answers it could not be served any more. */
    boolean mayAccept() {
        return !closing && core.now < core.answersDueAt;
    }

    /** Whether an attempt, the first or a further one, may be written to its worker. */
    boolean maySend(Attempt attempt) {
        RequestContext request = attempt.context;
        if (request.attempts.stream().anyMatch(other -> other != attempt && other.outcome == null) && !secondCopies) {
            return violated(Rule.TWO_ATTEMPTS_OUT, request);
        }
        if (classes.get(request.submission.jobClass()).effect() == Effect.UNSAFE
                && request.attempts.stream().anyMatch(other -> other != attempt && (other.outcome == null || !other.outcome.neverRan()))) {
            return violated(Rule.UNSAFE_REPEAT, request);
        }
        // while its connection came up the client left, the worker was told to drain, or a time ran out
        return !request.finished && attempt.worker.state == State.READY && core.now < attempt.startsBy && core.now < attempt.expiresAt;
    }

    /** Whether a request may get this as its final answer. */
    boolean mayAnswer(RequestContext request) {
        return !request.finished || violated(Rule.ANSWERED_TWICE, request);
    }

    /** Whether the process may stop, so many requests being owed an answer. */
    boolean mayStop(int owed) {
        return owed == 0 || violated(Rule.STOPPED_OWING, owed + " requests");
    }

    private boolean violated(Rule rule, RequestContext request) {
        return violated(rule, request.submission.name());
    }

    private boolean violated(Rule rule, String what) {
        violations++;
        core.effects.add(new granitefold.core.Effect.Log(LogEvent.RULE_BROKEN, rule, what));
        return false;
    }
}
