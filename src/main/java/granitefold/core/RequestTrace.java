package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.logging.LogEvent;
import java.util.List;

/** Logs the course of each request (by its client's id), attempt and connection, if the operator has enabled it. */
final class RequestTrace {
    private final boolean on;
    private final List<Effect> effects;

    RequestTrace(boolean on, List<Effect> effects) {
        this.on = on;
        this.effects = effects;
    }

    private void log(LogEvent event, Object... values) {
        effects.add(new Effect.Log(event, values));
    }

    void clientOpened(long client) {
        if (on) {
            log(LogEvent.CLIENT_OPENED, client);
        }
    }

    void clientClosed(long client, CloseReason reason) {
        if (on) {
            log(LogEvent.CLIENT_CLOSED, client, reason);
        }
    }

    void taken(RequestContext c, long now) {
        if (on) {
            log(LogEvent.REQUEST_TAKEN, c.submission.name(), c.id, c.client, c.submission.jobClass(), c.deadline - now);
        }
    }

    void answered(String name, FinalAnswer answer) {
        if (on) {
            log(LogEvent.REQUEST_ANSWERED, name, answer instanceof FinalAnswer.Served ? "Served" : answer.toString());
        }
    }

    void abandoned(RequestContext c) {
        if (on) {
            log(LogEvent.REQUEST_ABANDONED, c.submission.name());
        }
    }

    void begun(Attempt t) {
        if (on) {
            log(LogEvent.ATTEMPT_BEGUN, t.context.submission.name(), t.number, t.worker.name, t.connection == null ? "none" : t.connection.id);
        }
    }

    void sent(Attempt t, long waitUs) {
        if (on) {
            log(LogEvent.ATTEMPT_SENT, t.context.submission.name(), t.number, waitUs);
        }
    }

    void ended(Attempt t, Outcome outcome) {
        if (on) {
            log(LogEvent.ATTEMPT_ENDED, t.context.submission.name(), t.number, outcome);
        }
    }

    void workerClosed(long connection, Object reason) {
        if (on) {
            log(LogEvent.WORKER_CLOSED, connection, reason);
        }
    }
}
