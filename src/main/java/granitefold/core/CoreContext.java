package granitefold.core;

import granitefold.Dispatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the files of the core share: its parts, the time of the event in hand, and what is to happen for it. */
final class CoreContext {
    final Reducer.Bounds bounds;
    final Timers timers = new Timers();
    final List<Effect> effects = new ArrayList<>();
    final ConnectionPool pool;
    final ClientConnections clients;
    final Map<Long, Worker> workers = new LinkedHashMap<>();
    /** Outcomes of attempts that ended within a call of the module, which is told once that call is over. */
    final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    Dispatcher module;
    AvailabilityMonitor availabilityMonitor;
    FiguresPublisher figuresPublisher;
    /** Null where neither probes nor attempts are to say which workers look dead. */
    WorkerHealth health;
    /** Null where nothing outlives the process. */
    StatePersistence statePersistence;
    /** From then on answers close their connections. */
    long listenUntil = Long.MAX_VALUE;
    /** By then every request is to have its answer. */
    long answersDueAt = Long.MAX_VALUE;
    /** By then what clients sent across our last words has been read. */
    long closingEndsAt = Long.MAX_VALUE;
    long now;

    final RequestTrace trace;
    ActionGuard guard;

    CoreContext(Reducer.Bounds bounds, boolean traced) {
        this.bounds = bounds;
        trace = new RequestTrace(traced, effects);
        pool = new ConnectionPool(bounds.workerConnections(), bounds.idleCloseUs(), timers, effects, trace);
        clients = new ClientConnections(bounds.clientConnections(), timers, effects);
    }
}
