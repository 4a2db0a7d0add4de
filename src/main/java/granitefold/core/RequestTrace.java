package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.logging.LogEvent;
import java.util.List;

/** Logs the course of each request (by its client's id), attempt and connection, if the operator has enabled it. */
final class RequestTrace {
    private final boolean enabled;
    private final List<Effect> effects;

    RequestTrace(boolean enabled, List<Effect> effects) {
        this.enabled = enabled;
        this.effects = effects;
    }

    private void log(LogEvent event, Object... values) {
        effects.add(new Effect.Log(event, values));
    }

    void clientOpened(long client) {
        if (enabled) {
            log(LogEvent.CLIENT_OPENED, client);
        }
    }

    void clientClosed(long client, CloseReason reason) {
        if (enabled) {
            log(LogEvent.CLIENT_CLOSED, client, reason);
        }
    }

    void requestPartlyReceived(long client, int heldBytes) {
        if (enabled) {
            log(LogEvent.CLIENT_RECEIVING, client, heldBytes);
        }
    }

    void accepted(RequestContext request, long now) {
        if (enabled) {
            log(LogEvent.REQUEST_TAKEN, request.submission().name(), request.id, request.client, request.submission().jobClass(), request.deadline - now);
        }
    }

    void answered(String name, FinalAnswer answer) {
        if (enabled) {
            log(LogEvent.REQUEST_ANSWERED, name, answer instanceof FinalAnswer.Served ? "Served" : answer.toString());
        }
    }

    void answeredLocally(long client, int status) {
        if (enabled) {
            log(LogEvent.CLIENT_ANSWERED, client, status);
        }
    }

    void abandoned(RequestContext request) {
        if (enabled) {
            log(LogEvent.REQUEST_ABANDONED, request.submission().name());
        }
    }

    void begun(Attempt attempt) {
        if (enabled) {
            log(LogEvent.ATTEMPT_BEGUN, attempt.context.submission().name(), attempt.number, attempt.worker.name,
                    attempt.connection == null ? "none" : attempt.connection.id);
        }
    }

    void sent(Attempt attempt, long waitUs) {
        if (enabled) {
            log(LogEvent.ATTEMPT_SENT, attempt.context.submission().name(), attempt.number, waitUs);
        }
    }

    void ended(Attempt attempt, Outcome outcome) {
        if (enabled) {
            log(LogEvent.ATTEMPT_ENDED, attempt.context.submission().name(), attempt.number, outcome);
        }
    }

    void workerClosed(long connection, Object reason) {
        if (enabled) {
            log(LogEvent.WORKER_CLOSED, connection, reason);
        }
    }
}
