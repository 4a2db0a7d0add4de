package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Outcome;

/** Carries out the actions of the decision module. */
final class ModuleActions implements Dispatcher.Actions {
    private final CoreContext core;
    private final Requests requests;
    private final Attempts attempts;

    ModuleActions(CoreContext coreContext, Requests requests, Attempts attempts) {
        core = coreContext;
        this.requests = requests;
        this.attempts = attempts;
    }

    @Override
    public void send(long request, long worker, long waitUs, long startUs) {
        RequestContext c = requests.get(request);
        Worker to = core.workers.get(worker);
        if (c != null && to != null) {
            attempts.send(c, to, waitUs, startUs);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        RequestContext c = requests.get(request);
        Attempt t = c == null || attempt >= c.attempts.size() ? null : c.attempts.get(attempt);
        if (t != null && t.outcome == null) {
            core.pool.drop(t);
            attempts.endDeferred(t, Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) {
        finish(request, new FinalAnswer.Rejected(retryAfterUs, why));
    }

    @Override
    public void fail(long request) {
        RequestContext c = requests.get(request);
        finish(request, new FinalAnswer.Failed(c != null && core.now >= c.moduleDeadline));
    }

    private void finish(long request, FinalAnswer answer) {
        RequestContext c = requests.get(request);
        if (c != null && !c.finished) {
            requests.answer(c, answer);
            requests.forget(c);
        }
    }

    @Override
    public void timer(long afterUs, long token) {
        core.timers.at(core.now + afterUs, t -> core.module.elapsed(t, token));
    }

    @Override
    public void sendToSibling(int worker, byte[] message) {
        core.effects.add(new Effect.SendToSibling(worker, message));
    }

    @Override
    public void watch() {
        // the watch on discovery is always open
    }
}
