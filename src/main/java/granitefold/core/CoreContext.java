package granitefold.core;

import granitefold.Dispatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** State shared by the classes of the core: its components, the time of the current event, and the effects collected for it. */
final class CoreContext {
    final Reducer.Bounds bounds;
    final Timers timers = new Timers();
    final List<Effect> effects = new ArrayList<>();
    final ConnectionPool pool;
    final ClientConnections clients;
    final Map<Long, Worker> workers = new LinkedHashMap<>();
    /** Ends of attempts that occur within a call of the module, reported to it after that call returns. */
    final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    final RequestIds requestIds;
    Dispatcher module;
    AvailabilityMonitor availabilityMonitor;
    MetricsPublisher metricsPublisher;
    /** Null if health checking of workers by probes and attempts is off. */
    WorkerHealth health;
    /** Null if no state is saved. */
    StatePersistence statePersistence;
    /** The end of service during a shutdown: from then on answers close their connections. */
    long listenUntil = Long.MAX_VALUE;
    /** When every request must have its final answer during a shutdown. */
    long answersDueAt = Long.MAX_VALUE;
    /** When the process stops reading from clients that have been told to close. */
    long closingEndsAt = Long.MAX_VALUE;
    long now;

    final RequestTrace trace;
    ActionGuard guard;

    CoreContext(Reducer.Bounds bounds, List<Dispatcher.JobClass> classes, long seed, boolean traced) {
        this.bounds = bounds;
        requestIds = new RequestIds(classes, seed);
        trace = new RequestTrace(traced, effects);
        pool = new ConnectionPool(bounds.workerConnections(), bounds.idleCloseUs(), timers, effects, trace);
        clients = new ClientConnections(bounds.clientConnections(), timers, effects);
    }
}
