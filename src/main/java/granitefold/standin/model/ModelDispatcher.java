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

/** A dispatcher that runs the shipped decisions, with the clients that send to it. */
final class ModelDispatcher implements Dispatcher.Actions {
    private static final int RETRIES_MOST = 2;
    private static final double RETRY_AFTER_US = 30_000;

    private final FleetModel fleet;
    private final VirtualTime time;
    private final int number;
    private final DispatchPolicy decisions;
    private final StarvationMeter starvation;
    /** Requests that wait for an answer. */
    private final Map<Long, ClientRequest> waiting = new HashMap<>();
    private final Map<Long, List<ModelAttempt>> attempts = new HashMap<>();
    private long requests;

    ModelDispatcher(FleetModel fleet, VirtualTime time, int number, Settings settings, long seed) {
        this.fleet = fleet;
        this.time = time;
        this.number = number;
        decisions = new DispatchPolicy(settings, seed, this);
        starvation = new StarvationMeter(time.nowUs());
    }

    void start(List<Worker> workers) {
        decisions.start(time.nowUs());
        decisions.listUpdated(time.nowUs(), ListUpdate.WHOLE, workers);
    }

    void ask(ClientRequest request) {
        long id = requests++;
        long leftUs = request.deadlineUs - time.nowUs();
        waiting.put(id, request);
        decisions.requested(time.nowUs(), new Request(id, request.jobClass, request.tenant, leftUs, request.workUs, 1, 0, 0));
        time.after(leftUs, () -> expire(id));
    }

    private void expire(long id) {
        if (waiting.remove(id) != null) {
            decisions.expired(time.nowUs(), id);
        }
    }

    void started(long id, int attempt) {
        decisions.started(time.nowUs(), id, attempt);
    }

    void ended(ModelAttempt attempt, long id, int attemptNumber, Outcome outcome) {
        boolean served = outcome == Outcome.SERVED;
        if (served) {
            waiting.remove(id);
            fleet.served(attempt.request);
        }
        decisions.ended(time.nowUs(), id, attemptNumber, served, outcome, null);
    }

    void heard(int from, byte[] message) {
        decisions.messageReceived(time.nowUs(), from, message);
    }

    /** The longest span without an attempt, at the end of the run. */
    double starvedS() {
        starvation.ended(time.nowUs());
        return starvation.longestS();
    }

    @Override
    public void send(long id, long worker, long waitUs, long startUs) {
        starvation.ended(time.nowUs());
        List<ModelAttempt> sent = attempts.computeIfAbsent(id, i -> new ArrayList<>());
        ModelAttempt attempt = new ModelAttempt(this, waiting.get(id), id, sent.size());
        sent.add(attempt);
        fleet.send(worker, attempt);
    }

    @Override
    public void cancel(long id, int attempt) {
        ModelAttempt cancelled = attempts.get(id).get(attempt);
        cancelled.cancel();
        time.after(2 * ModelWorker.NETWORK_US, () -> decisions.ended(time.nowUs(), id, attempt, true, Outcome.CANCELLED, null));
    }

    @Override
    public void refuse(long id, long retryAfterUs, Dispatcher.Refusal why) {
        starvation.refused();
        ClientRequest request = waiting.remove(id);
        if (request != null && request.retries < RETRIES_MOST) {
            request.retries++;
            double backOff = RETRY_AFTER_US * (1 << request.retries) * (0.5 + fleet.random().nextDouble());
            time.after((long) backOff, () -> ask(request));
        }
    }

    @Override
    public void fail(long id) {
        waiting.remove(id);
    }

    @Override
    public void timer(long afterUs, long token) {
        time.after(afterUs, () -> decisions.elapsed(time.nowUs(), token));
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        fleet.tell(number, sibling, message);
    }

    @Override
    public void watch() {
        // the list of workers never changes here
    }
}
