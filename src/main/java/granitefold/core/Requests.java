package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Refusal;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The request contexts: each is owed one final answer by its deadline. */
final class Requests {
    /** The part of a client's time reserved for the transmission of its answer: the client counts from when it sent the request. */
    static final long ANSWER_MARGIN_US = 20_000;

    private final CoreContext core;
    private final Map<Long, RequestContext> contexts = new HashMap<>();
    private final Map<Long, RequestContext> owed = new LinkedHashMap<>();
    private long lastId;

    Requests(CoreContext coreContext) {
        core = coreContext;
    }

    RequestContext get(long id) {
        return contexts.get(id);
    }

    /** Returns the number of requests without a final answer. */
    int owed() {
        return owed.size();
    }

    void giveUpAll() {
        List.copyOf(owed.values()).forEach(this::giveUp);
    }

    /** A request has arrived at time {@code at}, from which its remaining time is counted. */
    void arrived(long client, Submission submitted, long at) {
        if (!core.guard.mayAccept()) {
            reply(client, submitted, FinalAnswer.Rejected.withDefaultRetry(Refusal.ENDING));
            return;
        }
        if (owed.size() >= core.bounds.requests()) {
            reply(client, submitted, FinalAnswer.Rejected.withDefaultRetry(Refusal.LIMIT));
            return;
        }
        long blockedForUs = core.statePersistence == null ? 0 : core.statePersistence.blockedForUs(submitted, core.now);
        if (blockedForUs > 0) {
            // a previous process may have sent it; once its deduplication window is over, a repeat is a job of its own
            reply(client, submitted, new FinalAnswer.Rejected(blockedForUs, Refusal.FORMER_PROCESS));
            return;
        }
        if (!core.requestIds.open(submitted.name(), core.now)) {
            // an answer to or a cancel of one of the two could not be told from that of the other, or the job would run twice
            reply(client, submitted, new FinalAnswer.Duplicate());
            return;
        }
        long deadline = Math.min(at + submitted.remainingUs(), core.answersDueAt);
        RequestContext context = new RequestContext(++lastId, client, submitted, deadline,
                Math.max(core.now, deadline - ANSWER_MARGIN_US));
        contexts.put(context.id, context);
        owed.put(client, context);
        core.trace.accepted(context, core.now);
        context.timer = core.timers.at(context.deadline - ANSWER_MARGIN_US / 4, t -> {
            // normally the module has answered long before; this guarantees an answer in any case
            giveUp(context);
        });
        core.module.requested(core.now, new Dispatcher.Request(context.id, submitted.jobClass(), submitted.tenant(),
                context.moduleDeadline - core.now, submitted.workUs(), submitted.slots(), submitted.memory(), submitted.key()));
    }

    void clientGone(long client) {
        RequestContext context = owed.remove(client);
        if (context != null) {
            finish(context);
            core.trace.abandoned(context);
            core.module.expired(core.now, context.id);
            forget(context);
        }
    }

    void answer(RequestContext context, FinalAnswer answer) {
        if (!core.guard.mayAnswer(context)) {
            return;
        }
        finish(context);
        reply(context.client, context.submission(), answer);
    }

    private void finish(RequestContext context) {
        context.finish();
        core.timers.cancel(context.timer);
        owed.remove(context.client);
    }

    private void reply(long client, Submission submitted, FinalAnswer answer) {
        core.trace.answered(submitted.name(), answer);
        core.clients.answering(client, core.now);
        core.metricsPublisher.replyStarted(client, submitted.jobClass(), answer);
        core.availabilityMonitor.answered(answer, core.now);
        core.effects.add(new Effect.Answer(client, answer, core.now >= core.listenUntil || core.availabilityMonitor.closesClients()));
    }

    /** Ends a request without a decision of the module: rejected if it never ran, else failed. */
    void giveUp(RequestContext context) {
        for (Attempt attempt : context.attempts) {
            if (attempt.outcome == null) {
                attempt.outcome = core.pool.drop(attempt) ? Outcome.CANCELLED : Outcome.MOOT;
                core.module.ended(core.now, context.id, attempt.number, true, attempt.outcome, null);
            }
        }
        answer(context, context.neverRan() ? FinalAnswer.Rejected.withDefaultRetry(Refusal.TIME)
                : new FinalAnswer.Failed(core.now >= context.moduleDeadline));
        core.module.expired(core.now, context.id);
        forget(context);
    }

    void forget(RequestContext context) {
        if (context.finished() && context.attempts.stream().allMatch(attempt -> attempt.outcome != null)) {
            if (contexts.remove(context.id) != null) {
                core.requestIds.ended(context.submission().name(), !context.neverRan(), core.now);
            }
        }
    }
}
