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
        RequestContext context = requests.get(request);
        Worker target = core.workers.get(worker);
        if (context != null && target != null) {
            attempts.send(context, target, waitUs, startUs);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        RequestContext context = requests.get(request);
        Attempt target = context == null || attempt >= context.attempts.size() ? null : context.attempts.get(attempt);
        if (target != null && target.outcome == null) {
            core.pool.drop(target);
            attempts.endDeferred(target, Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal reason) {
        finish(request, new FinalAnswer.Rejected(retryAfterUs, reason));
    }

    @Override
    public void fail(long request) {
        RequestContext context = requests.get(request);
        finish(request, new FinalAnswer.Failed(context != null && core.now >= context.moduleDeadline));
    }

    private void finish(long request, FinalAnswer answer) {
        RequestContext context = requests.get(request);
        if (context != null && !context.finished()) {
            requests.answer(context, answer);
            requests.forget(context);
        }
    }

    @Override
    public void timer(long afterUs, long token) {
        core.timers.at(core.now + afterUs, t -> core.module.elapsed(t, token));
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        core.effects.add(new Effect.SendToSibling(sibling, message));
    }

    @Override
    public void watch() {
        // the watch on discovery is always open
    }
}
