package granitefold.standin.model;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.Request;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.Worker;
import granitefold.policy.DispatchPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A dispatcher that runs the production policy, together with the clients that send to it. */
final class ModelDispatcher implements Dispatcher.Actions {
    private static final int MAX_RETRIES = 2;
    private static final double RETRY_AFTER_US = 30_000;

    private final FleetModel fleet;
    private final VirtualTime time;
    private final int number;
    private final DispatchPolicy policy;
    private final StarvationMeter starvationMeter;
    /** Requests without a final answer. */
    private final Map<Long, ClientRequest> unanswered = new HashMap<>();
    private final Map<Long, List<ModelAttempt>> attempts = new HashMap<>();
    private long requests;

    ModelDispatcher(FleetModel fleet, VirtualTime time, int number, Settings settings, long seed) {
        this.fleet = fleet;
        this.time = time;
        this.number = number;
        policy = new DispatchPolicy(settings, seed, this);
        starvationMeter = new StarvationMeter(time.nowUs());
    }

    void start(List<Worker> workers) {
        policy.start(time.nowUs());
        policy.listUpdated(time.nowUs(), ListUpdate.WHOLE, workers);
    }

    void request(ClientRequest request) {
        long id = requests++;
        long leftUs = request.deadlineUs - time.nowUs();
        unanswered.put(id, request);
        policy.requested(time.nowUs(), new Request(id, request.jobClass, request.tenant, leftUs, request.workUs, 1, 0, 0));
        time.after(leftUs, () -> expire(id));
    }

    private void expire(long id) {
        if (unanswered.remove(id) != null) {
            policy.expired(time.nowUs(), id);
        }
    }

    void started(long id, int attempt) {
        policy.started(time.nowUs(), id, attempt);
    }

    void ended(ModelAttempt attempt, long id, int attemptNumber, Outcome outcome) {
        boolean served = outcome == Outcome.SERVED;
        if (served) {
            unanswered.remove(id);
            fleet.served(attempt.request);
        }
        policy.ended(time.nowUs(), id, attemptNumber, served, outcome, null);
    }

    void messageReceived(int from, byte[] message) {
        policy.messageReceived(time.nowUs(), from, message);
    }

    /** Returns, at the end of the run, the longest time without an attempt. */
    double longestStarvationS() {
        starvationMeter.ended(time.nowUs());
        return starvationMeter.longestS();
    }

    @Override
    public void send(long id, long worker, long waitUs, long startUs) {
        starvationMeter.ended(time.nowUs());
        List<ModelAttempt> sent = attempts.computeIfAbsent(id, i -> new ArrayList<>());
        ModelAttempt attempt = new ModelAttempt(this, unanswered.get(id), id, sent.size());
        sent.add(attempt);
        fleet.send(worker, attempt);
    }

    @Override
    public void cancel(long id, int attempt) {
        ModelAttempt cancelled = attempts.get(id).get(attempt);
        cancelled.cancel();
        time.after(2 * ModelWorker.NETWORK_US, () -> policy.ended(time.nowUs(), id, attempt, true, Outcome.CANCELLED, null));
    }

    @Override
    public void refuse(long id, long retryAfterUs, Dispatcher.Refusal why) {
        starvationMeter.refused();
        ClientRequest request = unanswered.remove(id);
        if (request != null && request.retries < MAX_RETRIES) {
            request.retries++;
            double backOffUs = RETRY_AFTER_US * (1 << request.retries) * (0.5 + fleet.random().nextDouble());
            time.after((long) backOffUs, () -> request(request));
        }
    }

    @Override
    public void fail(long id) {
        unanswered.remove(id);
    }

    @Override
    public void timer(long afterUs, long token) {
        time.after(afterUs, () -> policy.elapsed(time.nowUs(), token));
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        fleet.sendGossip(number, sibling, message);
    }

    @Override
    public void watch() {
        // the list of workers never changes in the model
    }
}
