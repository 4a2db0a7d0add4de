package granitefold.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** Tracks the worker connections: which are open, and which of them are idle and since when. */
final class ConnectionPool {
    /** The fraction of a worker's idle timeout after which this side closes, so that no request meets the worker's close. */
    private static final double IDLE_CLOSE_FRACTION = 0.7;
    /**
     * How long a connection stays unused after an answer; this is the protocol's allowance for late data. A second answer that
     * comes some milliseconds late, and says by its status alone that nothing ran, would be taken for that of the next request.
     */
    static final long REUSE_DELAY_US = 50_000;

    private final Map<Long, WorkerConnection> open = new HashMap<>();
    /** Idle connections, the longest idle first, and those whose attempt is over while the end of the answer is awaited. */
    private final LinkedHashSet<WorkerConnection> idle = new LinkedHashSet<>();
    private final LinkedHashSet<WorkerConnection> awaitingEnd = new LinkedHashSet<>();
    private final int maxConnections;
    private final long maxIdleUs;
    private final Timers timers;
    private final List<Effect> effects;
    private final RequestTrace trace;
    private long nextId;

    /** Why the dispatcher closes a connection to a worker. */
    enum Reason {
        /** Its attempt was given up. */
        GIVEN_UP,
        /** The end of its answer did not arrive in time. */
        UNFINISHED,
        /** Its answer does not allow reuse, or its worker takes no more requests. */
        NOT_REUSABLE,
        /** It has reached the idle timeout. */
        IDLE,
        /** Another connection to its worker has just broken, or its worker is no longer ready. */
        WORKER_GONE,
        /** It makes room for a new connection. */
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

    /** Takes an idle connection to the worker that is neither too old nor used too recently, or returns null. */
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

    /** Opens a connection, or returns null if the limit is reached and none can be closed. */
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

    /** Returns a connection to the pool for another request. */
    void release(WorkerConnection connection, long now) {
        connection.state = WorkerConnection.State.IDLE;
        connection.idleSince = now;
        connection.stale = true;
        cancelAnswerWait(connection);
        connection.worker.idle.addFirst(connection);
        idle.add(connection);
    }

    /** Waits until a time for the end of the answer after the attempt has ended, so that a worker cannot hold a connection forever. */
    void awaitAnswerEnd(WorkerConnection connection, long until) {
        connection.state = WorkerConnection.State.AWAITING_END;
        awaitingEnd.add(connection);
        connection.timer = timers.at(until, t -> close(connection, Reason.UNFINISHED));
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

    /** Removes a connection that is closed already. */
    void forget(WorkerConnection connection) {
        if (open.remove(connection.id) != null) {
            connection.worker.open--;
            cancelAnswerWait(connection);
            if (idle.remove(connection)) {
                connection.worker.idle.remove(connection);
            }
        }
    }

    /**
     * Gives up an attempt: closes its connection at once, so that nothing else is sent on it. A request that this turn was about to send
     * is withdrawn. Returns whether the worker may have received the request: one handed to the loop in an earlier turn may be written
     * already, though the event that confirms it is still queued.
     */
    boolean drop(Attempt attempt) {
        WorkerConnection connection = attempt.connection;
        boolean withdrawn = effects.removeIf(effect -> effect instanceof Effect.SendRequest send && send.connection() == connection.id);
        timers.cancel(attempt.timer);
        connection.currentAttempt = null;
        close(connection, Reason.GIVEN_UP);
        return !withdrawn && connection.state != WorkerConnection.State.CONNECTING;
    }

    void closeIdle(Worker worker) {
        while (!worker.idle.isEmpty()) {
            close(worker.idle.getLast(), Reason.WORKER_GONE);
        }
    }

    /** Closes connections that have reached the idle timeout. */
    void sweep(Collection<Worker> workers, long now) {
        for (Worker worker : workers) {
            while (!worker.idle.isEmpty() && now - worker.idle.getLast().idleSince >= maxIdleUs) {
                close(worker.idle.getLast(), Reason.IDLE);
            }
        }
    }

    /** Closes the longest idle connection, or else one whose attempt is over; returns false if all carry attempts. */
    private boolean makeRoom() {
        LinkedHashSet<WorkerConnection> candidates = idle.isEmpty() ? awaitingEnd : idle;
        if (candidates.isEmpty()) {
            return false;
        }
        close(candidates.iterator().next(), Reason.NO_ROOM);
        return true;
    }
}
