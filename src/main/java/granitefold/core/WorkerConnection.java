package granitefold.core;

/** The core's record of one connection to a worker, which carries one attempt at a time. */
final class WorkerConnection {
    enum State {
        /** Not up yet: its attempt never ran. */
        CONNECTING,
        /** The request's last byte is not written yet: its attempt never ran. */
        SENDING,
        /** The request is out: its attempt may run. */
        WAITING,
        /** The attempt has ended, the end of the answer is still to be read. */
        AWAITING_END,
        IDLE
    }

    final long id;
    final Worker worker;
    final String address;
    State state = State.CONNECTING;
    /** It was idle before, and nothing has come on it since. */
    boolean stale;
    /** The attempt that is out on it, or null. */
    Attempt currentAttempt;
    /** Ends the wait for the end of an answer. */
    Timers.Timer timer;
    long idleSince;

    WorkerConnection(long id, Worker worker) {
        this.id = id;
        this.worker = worker;
        address = worker.address;
    }
}
