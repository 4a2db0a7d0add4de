package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;

/** The attempts of request contexts, on connections to workers: never two of one context at once. */
final class Attempts {
    /** How long the end of an answer may follow its last line. */
    private static final long SETTLE_US = 1_000_000;

    private final CoreContext core;
    private final Requests requests;
    private final WorkerRegistry list;

    Attempts(CoreContext parts, Requests requests, WorkerRegistry list) {
        core = parts;
        this.requests = requests;
        this.list = list;
    }

    void send(RequestContext c, Worker worker, long waitUs, long startUs) {
        long expiresAt = waitUs > 0 ? Math.min(c.moduleDeadline, core.now + waitUs) : c.moduleDeadline;
        Attempt t = new Attempt(c, c.attempts.size(), worker, expiresAt, startUs > Long.MAX_VALUE / 2 ? Long.MAX_VALUE : core.now + startUs);
        c.attempts.add(t);
        WorkerConnection idle = core.pool.takeIdle(worker, core.now);
        t.connection = idle != null ? idle : core.pool.connect(worker);
        if (t.connection == null) {
            // want of room here says nothing of the worker
            endAfterwards(t, Outcome.MOOT);
            return;
        }
        t.connection.carries = t;
        core.trace.begun(t);
        if (idle != null && core.guard.maySend(t)) {
            write(t);
        } else if (idle != null) {
            core.pool.drop(t);
            endAfterwards(t, Outcome.MOOT);
        } else {
            // it may be up by now and only not read yet: a busy loop must not pass for a dead worker
            t.timer = core.timers.at(Math.min(expiresAt, core.now + core.bounds.connectTimeoutUs()),
                    at -> core.effects.add(new Effect.PollSockets(t.connection.id)));
        }
    }

    private void write(Attempt t) {
        core.timers.cancel(t.timer);
        t.timer = core.timers.at(t.expiresAt, at -> {
            core.pool.drop(t);
            end(t, Outcome.TIMED_OUT);
        });
        t.connection.state = WorkerConnection.State.SENDING;
        if (core.recollection != null) {
            core.recollection.sent(t.context.submission, core.now);
        }
        core.trace.sent(t, t.expiresAt - core.now);
        core.effects.add(new Effect.SendRequest(t.connection.id, t.context.client, t.context.submission.payload(), t.expiresAt));
    }

    /** Its client has gone, so that nothing of it was written. */
    void notSent(WorkerConnection c) {
        if (c != null && c.carries != null) {
            Attempt t = c.carries;
            core.pool.drop(t);
            end(t, Outcome.MOOT);
        }
    }

    /** The time to connect is up, and all that had come by then has been read. */
    void looked(WorkerConnection c) {
        if (c != null && c.state == WorkerConnection.State.CONNECTING && c.carries != null) {
            Attempt t = c.carries;
            core.pool.drop(t);
            end(t, core.now < t.expiresAt ? Outcome.UNREACHABLE : Outcome.MOOT);
        }
    }

    void workerConnected(WorkerConnection c) {
        if (c == null || c.carries == null) {
            return;
        }
        Attempt t = c.carries;
        if (core.guard.maySend(t)) {
            write(t);
        } else {
            core.pool.drop(t);
            end(t, Outcome.MOOT);
        }
    }

    void workerSaid(WorkerConnection c, AttemptUpdate news) {
        Attempt t = c == null ? null : c.carries;
        if (t == null) {
            return;
        }
        c.stale = false;
        if (news instanceof AttemptUpdate.Started) {
            core.module.started(core.now, t.context.id, t.number);
        } else if (news instanceof AttemptUpdate.Progressed p) {
            core.module.progressed(core.now, t.context.id, t.number, p.share());
        } else {
            c.carries = null;
            core.pool.settle(c, core.now + SETTLE_US);
            if (news instanceof AttemptUpdate.Served s) {
                if (!t.context.over) {
                    requests.answer(t.context, new FinalAnswer.Served(s.result()));
                }
                end(t, Outcome.SERVED);
            } else if (news instanceof AttemptUpdate.Returned) {
                end(t, Outcome.FULL);
            } else {
                end(t, news instanceof AttemptUpdate.Failed ? Outcome.ERROR : Outcome.BROKEN);
            }
        }
    }

    void answerEnded(WorkerConnection c, boolean reusable) {
        if (c == null) {
            return;
        }
        Attempt t = c.carries;
        c.carries = null;
        if (reusable && t == null && c.worker.state == State.READY && c.address.equals(c.worker.address)) {
            core.pool.release(c, core.now);
        } else {
            core.pool.close(c, ConnectionPool.Reason.NOT_REUSABLE);
        }
        if (t != null) {
            // the answer ended without its last line: the job may have run, and the connection is not trusted
            end(t, Outcome.BROKEN);
        }
    }

    void workerClosed(WorkerConnection c, String why) {
        if (c == null) {
            return;
        }
        core.trace.workerClosed(c.id, why);
        core.pool.forget(c);
        if (c.stale) {
            // what ended this kept connection has most likely ended the others too
            core.pool.closeIdle(c.worker);
        }
        if (c.carries != null) {
            // that a kept one ended before the last byte was written says nothing of the worker
            end(c.carries, c.state == WorkerConnection.State.WAITING ? Outcome.BROKEN : c.stale ? Outcome.MOOT : Outcome.UNREACHABLE);
        }
    }

    private void end(Attempt t, Outcome outcome) {
        core.timers.cancel(t.timer);
        t.outcome = outcome;
        core.trace.ended(t, outcome);
        core.attendance.tried(outcome);
        core.module.ended(core.now, t.context.id, t.number, t.context.over, outcome, null);
        if (core.health != null) {
            list.judged(core.health.tried(t.worker.id, outcome, core.now));
        }
        requests.forget(t.context);
    }

    void endAfterwards(Attempt t, Outcome outcome) {
        t.outcome = outcome;
        core.afterwards.add(() -> end(t, outcome));
    }

    /** The last byte of a request was written. */
    void written(WorkerConnection c) {
        if (c != null && c.state == WorkerConnection.State.SENDING) {
            c.state = WorkerConnection.State.WAITING;
        }
    }
}
