package granitefold.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The bookkeeping of worker connections: which are open, which of them are idle and since when. */
final class ConnectionPool {
    /** A worker closes an idle connection after a told time; ours goes by this share of it, lest a request meet that. */
    private static final double IDLE_SHARE = 0.7;
    /**
     * What a worker still says of one request must not be taken for its answer to the next: a second answer, say, that comes some
     * milliseconds late, and tells by its status alone that nothing ran. For so long a connection rests; it is the protocol's slack.
     */
    static final long REST_US = 50_000;

    private final Map<Long, WorkerConnection> open = new HashMap<>();
    /** Connections without an attempt, the longest idle first, and those that only wait for the end of an answer. */
    private final LinkedHashSet<WorkerConnection> idle = new LinkedHashSet<>();
    private final LinkedHashSet<WorkerConnection> settled = new LinkedHashSet<>();
    private final int most;
    private final long idleUs;
    private final Timers timers;
    private final List<Effect> effects;
    private final RequestTrace trace;
    private long number;

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

    ConnectionPool(int most, long idleCloseUs, Timers timers, List<Effect> effects, RequestTrace trace) {
        this.most = most;
        idleUs = (long) (idleCloseUs * IDLE_SHARE);
        this.timers = timers;
        this.effects = effects;
        this.trace = trace;
    }

    WorkerConnection get(long id) {
        return open.get(id);
    }

    /** An idle connection to the worker that is fresh enough for a request, and has been silent since its last one; or null. */
    WorkerConnection takeIdle(Worker worker, long now) {
        for (WorkerConnection c : worker.idle) {
            if (now - c.idleSince >= idleUs) {
                break;
            }
            if (now - c.idleSince >= REST_US) {
                idle.remove(c);
                worker.idle.remove(c);
                return c;
            }
        }
        return null;
    }

    /** A new connection, or null where as many are open as the limits allow. */
    WorkerConnection connect(Worker worker) {
        if (open.size() >= most && !makeRoom()) {
            return null;
        }
        WorkerConnection c = new WorkerConnection(number++, worker);
        open.put(c.id, c);
        worker.open++;
        effects.add(new Effect.ConnectWorker(c.id, c.address));
        return c;
    }

    /** Keeps a connection for another request. */
    void release(WorkerConnection c, long now) {
        c.state = WorkerConnection.State.IDLE;
        c.idleSince = now;
        c.stale = true;
        unsettle(c);
        c.worker.idle.addFirst(c);
        idle.add(c);
    }

    /** Its attempt has ended, the end of the answer is awaited for so long: a worker must not keep it for good. */
    void settle(WorkerConnection c, long until) {
        c.state = WorkerConnection.State.SETTLED;
        settled.add(c);
        c.timer = timers.at(until, t -> close(c, Reason.UNFINISHED));
    }

    private void unsettle(WorkerConnection c) {
        timers.cancel(c.timer);
        settled.remove(c);
    }

    void close(WorkerConnection c, Reason reason) {
        trace.workerClosed(c.id, reason);
        forget(c);
        effects.add(new Effect.CloseWorker(c.id));
    }

    /** The connection is closed already. */
    void forget(WorkerConnection c) {
        if (open.remove(c.id) != null) {
            c.worker.open--;
            unsettle(c);
            if (idle.remove(c)) {
                c.worker.idle.remove(c);
            }
        }
    }

    /** Stops waiting for an attempt: its connection closes at once, before anything else can be sent. */
    void drop(Attempt t) {
        timers.cancel(t.timer);
        t.connection.carries = null;
        close(t.connection, Reason.GIVEN_UP);
    }

    void closeIdle(Worker worker) {
        while (!worker.idle.isEmpty()) {
            close(worker.idle.getLast(), Reason.WORKER_GONE);
        }
    }

    /** Closes what has been idle for too long. */
    void sweep(Collection<Worker> workers, long now) {
        for (Worker p : workers) {
            while (!p.idle.isEmpty() && now - p.idle.getLast().idleSince >= idleUs) {
                close(p.idle.getLast(), Reason.IDLE);
            }
        }
    }

    /** Closes the longest idle connection, or else one whose attempt is over; false if all carry attempts. */
    private boolean makeRoom() {
        LinkedHashSet<WorkerConnection> from = idle.isEmpty() ? settled : idle;
        if (from.isEmpty()) {
            return false;
        }
        close(from.iterator().next(), Reason.NO_ROOM);
        return true;
    }
}
