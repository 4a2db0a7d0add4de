package granitefold.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The bookkeeping of worker connections: which are open, which of them are idle and since when. */
final class ConnectionPool {
    /** A worker closes an idle connection after a told time; ours goes by this share of it, lest a request meet that. */
    private static final double IDLE_CLOSE_FRACTION = 0.7;
    /**
     * What a worker still says of one request must not be taken for its answer to the next: a second answer, say, that comes some
     * milliseconds late, and tells by its status alone that nothing ran. For so long a connection rests; it is the protocol's slack.
     */
    static final long REUSE_DELAY_US = 50_000;

    private final Map<Long, WorkerConnection> open = new HashMap<>();
    /** Connections without an attempt, the longest idle first, and those that only wait for the end of an answer. */
    private final LinkedHashSet<WorkerConnection> idle = new LinkedHashSet<>();
    private final LinkedHashSet<WorkerConnection> awaitingEnd = new LinkedHashSet<>();
    private final int maxConnections;
    private final long maxIdleUs;
    private final Timers timers;
    private final List<Effect> effects;
    private final RequestTrace trace;
    private long nextId;

    /** Why we close a connection to a worker. */
    enum Reason {
        /** Its attempt was given up. */
        GIVEN_UP,
        /** The end of its answer did not come. */
        UNFINISHED,
        /** Its answer does not allow another request, or its worker takes none. */
        NOT_REUSABLE,
        /** It has rested for as long as it may. */
        IDLE,
        /** Its worker's other connections have just broken, or its worker has gone. */
        WORKER_GONE,
        /** Another one needs its place. */
        NO_ROOM
    }

    ConnectionPool(int maxConnections, long idleCloseUs, Timers timers, List<Effect> effects, RequestTrace trace) {
        this.maxConnections = maxConnections;
        maxIdleUs = (long) (idleCloseUs * IDLE_CLOSE_FRACTION);
        this.timers = timers;
        this.effects = effects;
        this.trace = trace;
    }

    WorkerConnection get(long id) {
        return open.get(id);
    }

    /** An idle connection to the worker that is fresh enough for a request, and has been silent since its last one; or null. */
    WorkerConnection takeIdle(Worker worker, long now) {
        for (WorkerConnection connection : worker.idle) {
            if (now - connection.idleSince >= maxIdleUs) {
                break;
            }
            if (now - connection.idleSince >= REUSE_DELAY_US) {
                idle.remove(connection);
                worker.idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    /** A new connection, or null where as many are open as the limits allow. */
    WorkerConnection connect(Worker worker) {
        if (open.size() >= maxConnections && !makeRoom()) {
            return null;
        }
        WorkerConnection connection = new WorkerConnection(nextId++, worker);
        open.put(connection.id, connection);
        worker.open++;
        effects.add(new Effect.ConnectWorker(connection.id, connection.address));
        return connection;
    }

    /** Keeps a connection for another request. */
    void release(WorkerConnection connection, long now) {
        connection.state = WorkerConnection.State.IDLE;
        connection.idleSince = now;
        connection.stale = true;
        cancelAnswerWait(connection);
        connection.worker.idle.addFirst(connection);
        idle.add(connection);
    }

    /** Its attempt has ended, the end of the answer is awaited for so long: a worker must not keep it for good. */
    void awaitAnswerEnd(WorkerConnection connection, long until) {
        connection.state = WorkerConnection.State.AWAITING_END;
        awaitingEnd.add(connection);
        connection.timer = timers.at(until, attempt -> close(connection, Reason.UNFINISHED));
    }

    private void cancelAnswerWait(WorkerConnection connection) {
        timers.cancel(connection.timer);
        awaitingEnd.remove(connection);
    }

    void close(WorkerConnection connection, Reason reason) {
        trace.workerClosed(connection.id, reason);
        forget(connection);
        effects.add(new Effect.CloseWorker(connection.id));
    }

    /** The connection is closed already. */
    void forget(WorkerConnection connection) {
        if (open.remove(connection.id) != null) {
            connection.worker.open--;
            cancelAnswerWait(connection);
            if (idle.remove(connection)) {
                connection.worker.idle.remove(connection);
            }
        }
    }

    /** Stops waiting for an attempt: its connection closes at once, before anything else can be sent. */
    void drop(Attempt attempt) {
        timers.cancel(attempt.timer);
        attempt.connection.currentAttempt = null;
        close(attempt.connection, Reason.GIVEN_UP);
    }

    void closeIdle(Worker worker) {
        while (!worker.idle.isEmpty()) {
            close(worker.idle.getLast(), Reason.WORKER_GONE);
        }
    }

    /** Closes what has been idle for too long. */
    void sweep(Collection<Worker> workers, long now) {
        for (Worker worker : workers) {
            while (!worker.idle.isEmpty() && now - worker.idle.getLast().idleSince >= maxIdleUs) {
                close(worker.idle.getLast(), Reason.IDLE);
            }
        }
    }

    /** Closes the longest idle connection, or else one whose attempt is over; false if all carry attempts. */
    private boolean makeRoom() {
        LinkedHashSet<WorkerConnection> candidates = idle.isEmpty() ? awaitingEnd : idle;
        if (candidates.isEmpty()) {
            return false;
        }
        close(candidates.iterator().next(), Reason.NO_ROOM);
        return true;
    }
}
