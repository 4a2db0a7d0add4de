package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;

/** Runs the attempts of request contexts on worker connections; at most one per context at a time. */
final class Attempts {
    /** The time for the end of an answer to arrive after its last line. */
    private static final long ANSWER_END_TIMEOUT_US = 1_000_000;

    private final CoreContext core;
    private final Requests requests;
    private final WorkerRegistry registry;

    Attempts(CoreContext coreContext, Requests requests, WorkerRegistry registry) {
        core = coreContext;
        this.requests = requests;
        this.registry = registry;
    }

    void send(RequestContext context, Worker worker, long waitUs, long startUs) {
        long expiresAt = waitUs > 0 ? Math.min(context.moduleDeadline, core.now + waitUs) : context.moduleDeadline;
        Attempt attempt = new Attempt(context, context.attempts.size(), worker, expiresAt,
                startUs > Long.MAX_VALUE / 2 ? Long.MAX_VALUE : core.now + startUs);
        context.attempts.add(attempt);
        WorkerConnection idle = core.pool.takeIdle(worker, core.now);
        attempt.connection = idle != null ? idle : core.pool.connect(worker);
        if (attempt.connection == null) {
            // the dispatcher's own connection limit says nothing about the worker
            endDeferred(attempt, Outcome.MOOT);
            return;
        }
        attempt.connection.currentAttempt = attempt;
        core.trace.begun(attempt);
        if (idle != null && core.guard.maySend(attempt)) {
            write(attempt);
        } else if (idle != null) {
            core.pool.drop(attempt);
            endDeferred(attempt, Outcome.MOOT);
        } else {
            // the connection may be open by then but not noticed: a busy event loop must not look like a dead worker
            attempt.timer = core.timers.at(Math.min(expiresAt, core.now + core.bounds.connectTimeoutUs()),
                    at -> core.effects.add(new Effect.PollSockets(attempt.connection.id)));
        }
    }

    private void write(Attempt attempt) {
        core.timers.cancel(attempt.timer);
        attempt.timer = core.timers.at(attempt.expiresAt, at -> {
            core.pool.drop(attempt);
            end(attempt, Outcome.TIMED_OUT);
        });
        attempt.connection.state = WorkerConnection.State.SENDING;
        if (core.statePersistence != null) {
            core.statePersistence.sent(attempt.context.submission(), core.now);
        }
        core.trace.sent(attempt, attempt.expiresAt - core.now);
        core.effects.add(new Effect.SendRequest(attempt.connection.id, attempt.context.client, attempt.context.submission().payload(),
                attempt.expiresAt));
    }

    /** The request was not written because its client has gone. */
    void notSent(WorkerConnection connection) {
        if (connection != null && connection.currentAttempt != null) {
            Attempt attempt = connection.currentAttempt;
            core.pool.drop(attempt);
            end(attempt, Outcome.MOOT);
        }
    }

    /** The connect timeout has passed, and everything that had arrived by then has been read. */
    void socketsPolled(WorkerConnection connection) {
        if (connection != null && connection.state == WorkerConnection.State.CONNECTING && connection.currentAttempt != null) {
            Attempt attempt = connection.currentAttempt;
            core.pool.drop(attempt);
            end(attempt, core.now < attempt.expiresAt ? Outcome.UNREACHABLE : Outcome.MOOT);
        }
    }

    void workerConnected(WorkerConnection connection) {
        if (connection == null || connection.currentAttempt == null) {
            return;
        }
        Attempt attempt = connection.currentAttempt;
        if (core.guard.maySend(attempt)) {
            write(attempt);
        } else {
            core.pool.drop(attempt);
            end(attempt, Outcome.MOOT);
        }
    }

    void attemptUpdated(WorkerConnection connection, AttemptUpdate update) {
        Attempt attempt = connection == null ? null : connection.currentAttempt;
        if (attempt == null) {
            return;
        }
        connection.stale = false;
        if (update instanceof AttemptUpdate.Started) {
            core.module.started(core.now, attempt.context.id, attempt.number);
        } else if (update instanceof AttemptUpdate.Progressed progressed) {
            core.module.progressed(core.now, attempt.context.id, attempt.number, progressed.share());
        } else {
            connection.currentAttempt = null;
            core.pool.awaitAnswerEnd(connection, core.now + ANSWER_END_TIMEOUT_US);
            if (update instanceof AttemptUpdate.Served served) {
                if (!attempt.context.finished()) {
                    requests.answer(attempt.context, new FinalAnswer.Served(served.result()));
                }
                end(attempt, Outcome.SERVED);
            } else if (update instanceof AttemptUpdate.Returned) {
                end(attempt, Outcome.FULL);
            } else {
                end(attempt, update instanceof AttemptUpdate.Failed ? Outcome.ERROR : Outcome.BROKEN);
            }
        }
    }

    void answerEnded(WorkerConnection connection, boolean reusable) {
        if (connection == null) {
            return;
        }
        Attempt attempt = connection.currentAttempt;
        connection.currentAttempt = null;
        if (reusable && attempt == null && connection.worker.state == State.READY && connection.address.equals(connection.worker.address)) {
            core.pool.release(connection, core.now);
        } else {
            core.pool.close(connection, ConnectionPool.Reason.NOT_REUSABLE);
        }
        if (attempt != null) {
            // the answer ended without its last line: the job may have run, and the connection is not trusted
            end(attempt, Outcome.BROKEN);
        }
    }

    void workerClosed(WorkerConnection connection, String reason) {
        if (connection == null) {
            return;
        }
        core.trace.workerClosed(connection.id, reason);
        core.pool.forget(connection);
        if (connection.stale) {
            // the other idle connections to this worker have most likely broken as well
            core.pool.closeIdle(connection.worker);
        }
        if (connection.currentAttempt != null) {
            // a reused connection that breaks before the last byte is written says nothing about the worker
            end(connection.currentAttempt, connection.state == WorkerConnection.State.WAITING ? Outcome.BROKEN
                    : connection.stale ? Outcome.MOOT : Outcome.UNREACHABLE);
        }
    }

    private void end(Attempt attempt, Outcome outcome) {
        core.timers.cancel(attempt.timer);
        attempt.outcome = outcome;
        core.trace.ended(attempt, outcome);
        core.availabilityMonitor.attemptEnded(outcome);
        core.module.ended(core.now, attempt.context.id, attempt.number, attempt.context.finished(), outcome, null);
        if (core.health != null) {
            registry.healthChanged(core.health.attemptEnded(attempt.worker.id, outcome, core.now));
        }
        requests.forget(attempt.context);
    }

    void endDeferred(Attempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        core.deferred.add(() -> end(attempt, outcome));
    }

    /** The last byte of a request was written. */
    void written(WorkerConnection connection) {
        if (connection != null && connection.state == WorkerConnection.State.SENDING) {
            connection.state = WorkerConnection.State.WAITING;
        }
    }
}
