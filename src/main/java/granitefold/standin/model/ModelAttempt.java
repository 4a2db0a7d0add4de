package granitefold.standin.model;

import granitefold.Dispatcher.Outcome;

/** An attempt at a worker, which reports its progress to the dispatcher that sent it. */
final class ModelAttempt {
    final ClientRequest request;
    private final ModelDispatcher dispatcher;
    private final long requestId;
    private final int number;
    private boolean cancelled;

    ModelAttempt(ModelDispatcher dispatcher, ClientRequest request, long requestId, int number) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.requestId = requestId;
        this.number = number;
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    void started() {
        dispatcher.started(requestId, number);
    }

    void ended(Outcome outcome) {
        dispatcher.ended(this, requestId, number, cancelled ? Outcome.CANCELLED : outcome);
    }
}
