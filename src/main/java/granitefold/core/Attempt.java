package granitefold.core;

import granitefold.Dispatcher.Outcome;

/** One attempt of a request context at a worker. */
final class Attempt {
    final RequestContext context;
    final int number;
    final Worker worker;
    /** When the dispatcher stops waiting for it. */
    final long expiresAt;
    /** From this time on it must not be sent. */
    final long startsBy;
    WorkerConnection connection;
    /** Timeout for its connection, then for its outcome. */
    Timers.Timer timer;
    /** Null while it is running. */
    Outcome outcome;

    Attempt(RequestContext context, int number, Worker worker, long expiresAt, long startsBy) {
        this.context = context;
        this.number = number;
        this.worker = worker;
        this.expiresAt = expiresAt;
        this.startsBy = startsBy;
    }
}
