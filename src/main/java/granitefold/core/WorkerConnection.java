package granitefold.core;

/** The core's record of one connection to a worker, which carries one attempt at a time. */
final class WorkerConnection {
    enum State {
        /** Being opened: its attempt has not run. */
        CONNECTING,
        /** The request's last byte is not written yet: its attempt has not run. */
        SENDING,
        /** The request has been sent: its attempt may be running. */
        WAITING,
        /** The attempt has ended, the end of the answer has not been read yet. */
        AWAITING_END,
        IDLE
    }

    final long id;
    final Worker worker;
    final String address;
    State state = State.CONNECTING;
    /** Reused after being idle, with nothing received since: the worker may have closed it. */
    boolean stale;
    /** The running attempt on this connection, or null. */
    Attempt currentAttempt;
    /** Timeout for the end of an answer. */
    Timers.Timer timer;
    long idleSince;

    WorkerConnection(long id, Worker worker) {
        this.id = id;
        this.worker = worker;
        address = worker.address;
    }
}
