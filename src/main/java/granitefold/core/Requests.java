package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Refusal;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The request contexts: each is owed one final answer by its deadline. */
final class Requests {
    /** The client's clock runs since it sent the request; so much of its time is kept for the way back. */
    static final long ANSWER_US = 20_000;

    private final CoreContext core;
    private final Map<Long, RequestContext> contexts = new HashMap<>();
    private final Map<Long, RequestContext> owed = new LinkedHashMap<>();
    /** The names that clients gave to the requests in {@link #contexts}. */
    private final Set<String> names = new HashSet<>();
    private long lastId;

    Requests(CoreContext parts) {
        core = parts;
    }

    RequestContext get(long id) {
        return contexts.get(id);
    }

    /** Those that have no final answer yet. */
    int owed() {
        return owed.size();
    }

    void giveUpAll() {
        List.copyOf(owed.values()).forEach(this::giveUp);
    }

    /** One that came at a time, which its own time is counted from. */
    void arrived(long client, Submission s, long at) {
        if (!core.guard.mayTake()) {
            reply(client, s, FinalAnswer.Rejected.withDefaultRetry(Refusal.ENDING));
            return;
        }
        if (owed.size() >= core.bounds.requests()) {
            reply(client, s, FinalAnswer.Rejected.withDefaultRetry(Refusal.LIMIT));
            return;
        }
        long blocked = core.recollection == null ? 0 : core.recollection.blocked(s, core.now);
        if (blocked > 0) {
            // a former life of ours may have sent it: by the end of its window a repeat is a job of its own
            reply(client, s, new FinalAnswer.Rejected(blocked, Refusal.FORMER_PROCESS));
            return;
        }
        if (!names.add(s.name())) {
            // an answer or a cancel for one of the two would be taken for the other's
            reply(client, s, new FinalAnswer.Duplicate());
            return;
        }
        long deadline = Math.min(at + s.remainingUs(), core.endsAt);
        RequestContext c = new RequestContext(++lastId, client, s, deadline, Math.max(core.now, deadline - ANSWER_US));
        contexts.put(c.id, c);
        owed.put(client, c);
        core.trace.taken(c, core.now);
        c.timer = core.timers.at(c.deadline - ANSWER_US / 4, t -> {
            // the module has answered long before; whatever keeps it, the client gets its answer
            giveUp(c);
        });
        core.module.requested(core.now, new Dispatcher.Request(c.id, s.jobClass(), s.tenant(), c.moduleDeadline - core.now,
                s.workUs(), s.slots(), s.memory(), s.key()));
    }

    void clientGone(long client) {
        RequestContext c = owed.remove(client);
        if (c != null) {
            over(c);
            core.trace.abandoned(c);
            core.module.expired(core.now, c.id);
            forget(c);
        }
    }

    void answer(RequestContext c, FinalAnswer answer) {
        if (!core.guard.mayAnswer(c)) {
            return;
        }
        over(c);
        reply(c.client, c.submission, answer);
    }

    private void over(RequestContext c) {
        c.over = true;
        core.timers.cancel(c.timer);
        owed.remove(c.client);
    }

    private void reply(long client, Submission s, FinalAnswer answer) {
        core.trace.answered(s.name(), answer);
        core.clients.answering(client, core.now);
        core.books.answering(client, s.jobClass(), answer);
        core.attendance.answered(answer, core.now);
        core.effects.add(new Effect.Answer(client, answer, core.now >= core.listensUntil || core.attendance.sendsAway()));
    }

    /** Ends a context without the module: a reject where nothing ran, else failed. */
    void giveUp(RequestContext c) {
        for (Attempt t : c.attempts) {
            if (t.outcome == null) {
                t.outcome = t.connection.state == WorkerConnection.State.WAITING ? Outcome.CANCELLED : Outcome.MOOT;
                core.pool.drop(t);
                core.module.ended(core.now, c.id, t.number, true, t.outcome, null);
            }
        }
        answer(c, c.neverRan() ? FinalAnswer.Rejected.withDefaultRetry(Refusal.TIME) : new FinalAnswer.Failed(core.now >= c.moduleDeadline));
        core.module.expired(core.now, c.id);
        forget(c);
    }

    void forget(RequestContext c) {
        if (c.over && c.attempts.stream().allMatch(t -> t.outcome != null)) {
            if (contexts.remove(c.id) != null) {
                names.remove(c.submission.name());
            }
        }
    }
}
