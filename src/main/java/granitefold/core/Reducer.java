package granitefold.core;

import granitefold.Dispatcher;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import granitefold.policy.DispatchPolicy;
import granitefold.recovery.LearnedState;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Holds all state of a dispatcher and changes it: takes an event and the current time, returns effects. It passes events
 * to the decision module, turns the module's actions into effects, and enforces the rules that need no decision: one final
 * answer for each request context by its deadline, and at most one running attempt of a context. Not thread-safe.
 */
public final class Reducer {
    /** Without a known worker the process starts to serve after this time, unless discovery sends a list earlier. */
    static final long START_TIMEOUT_US = 500_000;
    /**
     * The longest time that requests wait for the first message of discovery. Its agent runs on this machine and answers at once,
     * and a process must comply with its list from the start; while discovery is down no message comes.
     */
    static final long FIRST_LIST_TIMEOUT_US = 200_000;
    private static final long SWEEP_INTERVAL_US = 500_000;

    private final CoreContext core;
    private final Requests requests;
    private final WorkerRegistry registry;
    private final Attempts attempts;
    private DiscoveryWatch watch;
    private final ShutdownSchedule shutdownSchedule;
    private final Lifecycle lifecycle;
    private final long seed;
    private final SiblingTracker siblings;
    /** Whether discovery has sent its first message, or the wait for it has timed out. */
    private boolean listKnown;
    /** Requests that arrived before {@link #listKnown}. */
    private final EarlyRequests early;
    private long wakeAt = Long.MAX_VALUE;

    /** Limits that are not part of the decision module's settings. */
    public record Bounds(int clientConnections, int requests, int workerConnections, long connectTimeoutUs,
            long idleCloseUs) { }

    /** Creates a reducer without optional features. */
    public Reducer(Settings settings, Bounds bounds, long seed) {
        this(settings, bounds, seed, OptionalFeatures.NONE);
    }

    /** Creates a reducer; {@code seed} determines its random choices. */
    public Reducer(Settings settings, Bounds bounds, long seed, OptionalFeatures features) {
        core = new CoreContext(bounds, settings.classes(), seed, features.trace());
        core.guard = new ActionGuard(core, settings.classes(), settings.limits().secondCopies());
        shutdownSchedule = ShutdownSchedule.of(settings.classes());
        this.seed = seed;
        siblings = new SiblingTracker(settings, core.timers, core.effects);
        requests = new Requests(core);
        early = new EarlyRequests(core.timers, requests);
        lifecycle = new Lifecycle(core, requests, siblings, shutdownSchedule, early::submitAll);
        registry = new WorkerRegistry(core);
        attempts = new Attempts(core, requests, registry);
        core.availabilityMonitor = new AvailabilityMonitor(features.availability(), bounds.clientConnections(), this, core.timers, core.effects);
        core.metricsPublisher = new MetricsPublisher(features.metrics(), settings.classes().size(), this, core.timers, core.effects);
        core.health = features.health() == null ? null : new WorkerHealth(features.health(), seed, core.timers, core.effects);
        core.module = new DispatchPolicy(settings, seed, new ModuleActions(core, requests, attempts));
        core.statePersistence = features.persistence() == null ? null
                : new StatePersistence(features.persistence(), settings.classes(), core.module, core.timers, core.effects);
    }

    /** Returns the current phase of the process. */
    public Phase phase() {
        return lifecycle.phase();
    }

    // ---------------------------------------------------------------- status
    Dispatcher.Pressure pressure() {
        return core.module.pressure(core.now);
    }

    Dispatcher.WorkerCounts workerCounts() {
        return core.module.workerCounts(core.now);
    }

    /** Whether the process is serving, with the first list of discovery received or given up on. */
    boolean ready() {
        return phase() == Phase.SERVING && listKnown;
    }

    double clientShare() {
        return (double) core.clients.size() / core.bounds.clientConnections();
    }

    int clients() {
        return core.clients.size();
    }

    /** Returns the number of open client connections by the name of their state. */
    Map<String, Long> clientStates() {
        return core.clients.countByState();
    }

    int owed() {
        return requests.owed() + early.size();
    }

    /** Returns the time after the shutdown request at which the process ends at the latest. */
    public long shutdownTimeoutUs() {
        return shutdownSchedule.shutdownTimeoutUs();
    }

    /** Returns the number of timers that are set. */
    int timerCount() {
        return core.timers.size();
    }

    int workersDown() {
        return core.health == null ? 0 : core.health.down();
    }

    boolean panic() {
        return core.health != null && core.health.panic();
    }

    long listVersion() {
        return watch == null ? 0 : watch.version();
    }

    /** Returns what the module has learned, as of the last event. */
    public LearnedState learned() {
        return core.module.learned(core.now);
    }

    /** Returns the effects of the current event so far. They remain to be performed if {@link #reduce} has thrown. */
    public List<Effect> pendingEffects() {
        return Collections.unmodifiableList(core.effects);
    }

    /** Processes one event, then all timers that are due. */
    public List<Effect> reduce(Event event, long time) {
        return reduce(event, time, Math.max(core.now, time));
    }

    /**
     * Processes one event, then the timers that were due at {@code timersDueBy}, and returns the effects in order, in a list that is valid
     * until the next call. Later timers wait until it is known what had arrived by the time at which they were due.
     */
    public List<Effect> reduce(Event event, long time, long timersDueBy) {
        core.now = Math.max(core.now, time);
        core.effects.clear();
        handle(event);
        settle();
        for (LongConsumer due = core.timers.due(timersDueBy); due != null; due = core.timers.due(timersDueBy)) {
            due.accept(core.now);
            settle();
        }
        lifecycle.advance();
        if (core.timers.next() != wakeAt) {
            wakeAt = core.timers.next();
            core.effects.add(new Effect.WakeAt(wakeAt));
        }
        return Collections.unmodifiableList(core.effects);
    }

    private void settle() {
        while (!core.deferred.isEmpty()) {
            core.deferred.remove().run();
        }
    }

    private void handle(Event event) {
        if (event instanceof Event.SocketsOpened e) {
            opened(e.known(), e.discovery());
        } else if (event instanceof Event.ClientConnected e) {
            core.trace.clientOpened(e.client());
            core.clients.opened(e.client(), core.now);
        } else if (event instanceof Event.RequestStarted e) {
            core.trace.requestPartlyReceived(e.client(), e.heldBytes());
            core.clients.requestStarted(e.client(), e.heldBytes(), core.now - e.unreadUs(), core.now);
        } else if (event instanceof Event.RequestContinued e) {
            if (core.clients.received(e.client(), e.heldBytes(), core.now - e.unreadUs())) {
                core.trace.requestPartlyReceived(e.client(), e.heldBytes());
            }
        } else if (event instanceof Event.MemoryLow) {
            core.clients.freeMemory(core.now);
        } else if (event instanceof Event.RequestArrived e) {
            core.clients.arrived(e.client(), core.now);
            if (listKnown) {
                requests.arrived(e.client(), e.submission(), core.now - e.unreadUs());
            } else {
                early.hold(e.client(), e.submission(), core.now - e.unreadUs(), core.now);
            }
        } else if (event instanceof Event.AnsweredLocally e) {
            core.trace.answeredLocally(e.client(), e.status());
            core.metricsPublisher.answeredLocally(e.status());
            core.clients.answering(e.client(), core.now);
        } else if (event instanceof Event.AnswerWritten e) {
            core.metricsPublisher.replyWritten(e.client());
            core.clients.written(e.client(), e.last(), core.now);
        } else if (event instanceof Event.ClientHalfClosed e) {
            core.clients.halfClosed(e.client(), core.now);
        } else if (event instanceof Event.ClientClosed e) {
            core.trace.clientClosed(e.client(), e.reason());
            early.clientGone(e.client());
            core.metricsPublisher.clientClosed(e.client(), e.reason());
            core.clients.closed(e.client());
            requests.clientGone(e.client());
        } else if (event instanceof Event.WorkerConnected e) {
            attempts.workerConnected(core.pool.get(e.connection()));
        } else if (event instanceof Event.SocketsPolled e && e.connection() == Effect.PollSockets.NO_CONNECTION) {
            listKnown();
        } else if (event instanceof Event.SocketsPolled e && e.connection() == Effect.PollSockets.SHUTDOWN) {
            lifecycle.socketsPolled();
        } else if (event instanceof Event.SocketsPolled e) {
            attempts.socketsPolled(core.pool.get(e.connection()));
        } else if (event instanceof Event.RequestNotSent e) {
            attempts.notSent(core.pool.get(e.connection()));
        } else if (event instanceof Event.RequestWritten e) {
            core.metricsPublisher.attemptDispatched();
            attempts.written(core.pool.get(e.connection()));
        } else if (event instanceof Event.AttemptUpdated e) {
            attempts.attemptUpdated(core.pool.get(e.connection()), e.update());
        } else if (event instanceof Event.WorkerAnswerEnded e) {
            attempts.answerEnded(core.pool.get(e.connection()), e.reusable());
        } else if (event instanceof Event.WorkerClosed e) {
            attempts.workerClosed(core.pool.get(e.connection()), e.reason());
        } else if (event instanceof Event.WatchUpdated e) {
            DiscoveryWatch.ListAcceptance acceptance = watch.received(e.list(), !core.workers.isEmpty(), core.now);
            core.availabilityMonitor.discoveryUpdated(acceptance == DiscoveryWatch.ListAcceptance.ACCEPTED, core.now);
            if (acceptance == DiscoveryWatch.ListAcceptance.ACCEPTED) {
                registry.listUpdated(e.list().whole() ? ListUpdate.WHOLE : ListUpdate.CHANGES, e.list());
            } else if (acceptance == DiscoveryWatch.ListAcceptance.DRAINS_ONLY) {
                registry.applyDrains(e.list());
            }
            listKnown();
        } else if (event instanceof Event.WatchEnded e) {
            watch.ended(e.reason(), core.now);
        } else if (event instanceof Event.DiscoveryAddressChanged e) {
            watch.changeAddress(e.address(), core.now);
        } else if (event instanceof Event.SiblingMessage e) {
            if (!siblings.received(e.from(), e.message(), core.now)) {
                core.module.messageReceived(core.now, e.from(), e.message());
            }
        } else if (event instanceof Event.ShutdownRequested e) {
            lifecycle.shutdownRequested(e.superseded());
        } else if (event instanceof Event.ListenerClosed e) {
            lifecycle.listenerClosed(e.emptied());
        } else if (event instanceof Event.ResourcesSampled e) {
            core.availabilityMonitor.resourcesSampled(e.resources(), core.now);
        } else if (event instanceof Event.ModeRequested e) {
            core.availabilityMonitor.modeRequested(e.mode(), core.now);
        } else if (event instanceof Event.AvailabilitySettingsChanged e) {
            core.availabilityMonitor.settingsChanged(e.settings());
        } else if (event instanceof Event.StateRecovered e && core.statePersistence != null) {
            core.statePersistence.recovered(e.learned(), core.workers.values().stream().map(p -> p.listed).toList(), core.now);
        } else if (event instanceof Event.StateInherited e) {
            core.module.restore(core.now, e.learned());
            core.effects.add(new Effect.Log(LogEvent.HAND_OVER_RECEIVED, e.learned().workers().size(), e.learned().buckets().size()));
        } else if (event instanceof Event.ProbeEnded e && core.health != null) {
            registry.healthChanged(core.health.probed(e.worker(), e.healthy(), e.reason(), core.now));
        }
    }

    // ---------------------------------------------------------------- phases
    private void opened(WorkerList known, String discovery) {
        core.module.start(core.now);
        core.availabilityMonitor.opened(core.now);
        registry.listUpdated(ListUpdate.SAVED, known);
        watch = new DiscoveryWatch(discovery, known.version(), seed, core.timers, core.effects);
        watch.open(core.now);
        if (core.workers.values().stream().anyMatch(p -> p.state == State.READY)) {
            // after a restart clients are waiting, and the saved list is the best one available
            lifecycle.serve();
        }
        // the event loop is busy after a start: the list may have arrived by then but not have been read
        core.timers.at(core.now + (phase() == Phase.SERVING ? FIRST_LIST_TIMEOUT_US : START_TIMEOUT_US),
                t -> core.effects.add(new Effect.PollSockets(Effect.PollSockets.NO_CONNECTION)));
        sweep(core.now);
        core.metricsPublisher.opened(core.now);
        if (core.statePersistence != null) {
            core.statePersistence.begin(core.now);
        }
        if (core.health != null) {
            core.health.begin(registry::healthChanged, core.workers, core.now);
        }
    }

    /** Starts to serve: the first list has been received, or no better one is available for now. */
    private void listKnown() {
        boolean first = !listKnown;
        listKnown = true;
        lifecycle.serve();
        early.submitAll();
        if (first) {
            core.metricsPublisher.publish();
        }
    }

    private void sweep(long at) {
        core.pool.sweep(core.workers.values(), at);
        core.timers.at(at + SWEEP_INTERVAL_US, this::sweep);
    }
}
