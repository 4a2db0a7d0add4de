package granitefold.net;

import granitefold.core.Effect;
import granitefold.core.Event;
import granitefold.core.Phase;
import granitefold.core.Reducer;
import granitefold.availability.AvailabilitySettings;
import granitefold.availability.RequestedMode;
import granitefold.figures.MetricsSnapshot;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.operator.OperatorSettings;
import granitefold.recovery.LearnedState;
import granitefold.wire.Address;
import granitefold.wire.Config;
import granitefold.wire.InvalidInputException;
import granitefold.wire.NamedSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The event loop of a dispatcher: passes events to the reducer and performs the effects that it returns. Unless stated otherwise,
 * methods must be called on the selector's thread.
 */
public final class EventLoop implements SelectorThread.TimerHandler {
    private static final int BACKLOG = 1024;
    private static final long ERROR_RETRY_DELAY_US = 10_000;
    /**
     * Descriptors reserved for files, the selector, the listener, the watch and datagrams (about 20), for a round of accepted
     * clients that are not counted yet, and for closed channels that are held until the next select.
     */
    private static final int RESERVED_DESCRIPTORS = 48;
    public static final int OPS_DESCRIPTORS = 20; // 12 connections, and 8 of the endpoint itself
    private static final int SPARE_CLIENT_CONNECTIONS = 16; // client connections beyond those with a request in progress
    /** Time limit of the hand-over: the old version looks for the request four times a second, and it precedes the warm-up. */
    private static final long HANDOVER_TIMEOUT_MS = 700;

    private final Config config;
    private final Clock clock = new Clock();
    private final SelectorThread selectorThread = new SelectorThread("dispatcher", this);
    private final Reducer reducer;
    private final Reducer.Bounds bounds;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final HeldMemory heldMemory = new HeldMemory(Runtime.getRuntime().maxMemory());
    private ClientListener listener;
    private boolean reducing;
    private boolean stopping;
    private long wakeAtUs = Long.MAX_VALUE;
    /** What discovery and workers had sent by this time is read: timers that are due later must not yet decide that nothing has come. */
    private long timersDueByUs;
    /** Null unless the operator has configured something that exposes the status. */
    private final StatusReporter statusReporter;
    private final OperatorSettings operator;
    private Consumer<LearnedState> stateSaver;
    private final InboundConnections inbound;
    private final OutboundConnections outbound;
    /** The processes that serve at the same address; null if there is no ops address, and so never a second process. */
    private final ProcessRegistry processes;
    /** Null without an ops address, or without a folder that is shared with other processes. */
    private final StateHandover handover;
    private volatile MetricsSnapshot figures;

    /** Creates a loop without an operator's file. */
    public EventLoop(Config config) {
        this(config, OperatorSettings.NONE);
    }

    public EventLoop(Config config, OperatorSettings operator) {
        this.config = config;
        this.operator = operator;
        statusReporter = operator.publishesAvailability() ? new StatusReporter(clock, operator.clients(), config.cores()) : null;
        if (operator.health() != null && operator.health().probesEnabled() && !config.probingAllowed()) {
            EventLog.log(LogEvent.PROBES_OFF, "the platform's settings forbid them");
        }
        // each request may take two connections: one to its client and one to a worker
        boolean hasOps = config.ops() != null;
        inbound = new InboundConnections(this, selectorThread);
        outbound = new OutboundConnections(this, selectorThread, config, operator);
        processes = hasOps ? ProcessRegistry.forAddress(config.listen()) : null;
        handover = hasOps && processes.pathPrefix != null ? new StateHandover(processes.pathPrefix, config.settingsIndexes()) : null;
        int checkDescriptors = operator.maxDescriptors() + (hasOps ? OPS_DESCRIPTORS : 0);
        if (operator.maxDescriptors() > config.sockets() / 4) {
            throw new InvalidInputException("checks may hold " + operator.maxDescriptors() + " descriptors, more than a quarter of limits.sockets, "
                    + config.sockets());
        }
        int perSide = Math.max(SPARE_CLIENT_CONNECTIONS + 1, (config.sockets() - RESERVED_DESCRIPTORS - checkDescriptors) / 2);
        bounds = new Reducer.Bounds(perSide, perSide - SPARE_CLIENT_CONNECTIONS, perSide, config.connectTimeoutUs(), config.idleCloseUs());
        reducer = new Reducer(config.namedSettings().settings(), bounds, config.seed(), operator.extras(config.probingAllowed()).withMetrics(hasOps));
    }

    /** Opens the sockets and starts the loop; called on the main thread. */
    public void start() throws Exception {
        LearnedState inherited = null;
        if (processes != null && processes.hasOthers()) {
            // the old version serves in the meantime, so that no client is affected by the cold start
            String token = handover == null ? null : handover.request();
            long startUs = clock.micros();
            EventLog.log(LogEvent.WARM_UP_DONE, JitWarmup.run(config, bounds), (clock.micros() - startUs) / 1000);
            inherited = token == null ? null : handover.await(token, HANDOVER_TIMEOUT_MS);
        }
        LearnedState inheritedState = inherited;
        // if the next version may start while this one serves, both listen on the same address
        long openedNs = System.nanoTime();
        listener = new ClientListener(selectorThread, SocketOpener.openTcpListener(config.listen(), BACKLOG, processes != null), inbound::accepted);
        DatagramChannel siblings = outbound.bindSiblingChannel(processes != null);
        EventLog.log(LogEvent.LISTENING, Address.text(address()));
        selectorThread.start();
        selectorThread.submit(() -> {
            outbound.openSiblingChannel(siblings);
            post(new Event.SocketsOpened(config.initialWorkers(), Address.text(config.discovery())));
            if (inheritedState != null) {
                post(new Event.StateInherited(inheritedState));
            }
            selectorThread.listen(listener, openedNs);
        });
        started.countDown();
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Reloads the configuration and switches to the discovery address in it; all other settings take effect at the next start. An
     * invalid file changes nothing. Must not be called on the selector's thread, since it reads a file.
     */
    public synchronized void reload(Path file) {
        try {
            String discovery = Address.text(Config.read(file).discovery());
            EventLog.log(LogEvent.CONFIGURATION_READ, discovery);
            selectorThread.submit(() -> post(new Event.DiscoveryAddressChanged(discovery)));
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.CONFIGURATION_KEPT, e.getMessage());
        }
    }

    /**
     * Starts the graceful shutdown and waits until it is complete or the platform is about to kill the process; called from a
     * shutdown hook. Returns how much of that time is left, in microseconds.
     */
    public long terminate() throws InterruptedException {
        long startNs = System.nanoTime();
        started.await(reducer.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        boolean othersServe = processes != null && processes.hasOthers();
        if (othersServe) {
            EventLog.log(LogEvent.REPLACEMENT_SERVING, Address.text(config.listen()));
        }
        selectorThread.submit(() -> post(new Event.ShutdownRequested(othersServe)));
        stopped.await(reducer.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        return Math.max(0, reducer.shutdownTimeoutUs() - TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs));
    }

    public String name() {
        return config.name();
    }

    /** Sets what saves the learned state; called before the start if the operator has configured a state folder. */
    public void saveStateWith(Consumer<LearnedState> saver) {
        stateSaver = saver;
    }

    /** Restores the state saved by a previous process; may be called from any thread. */
    public void restore(LearnedState learned) {
        selectorThread.submit(() -> post(new Event.StateRecovered(learned)));
    }

    /** Returns the last published metrics and status, or null before the first. May be called from any thread. */
    public MetricsSnapshot figures() {
        return figures;
    }

    /** Answers a request of a new version for the learned state; {@code fileExecutor} runs the writing of the file. */
    public void answerHandoverRequests(Consumer<Runnable> fileExecutor) {
        // until this process serves, the pending request is its own
        if (handover != null && figures != null && figures.ready()) {
            handover.poll(token -> selectorThread.submit(() -> {
                LearnedState learned = reducer.learned();
                fileExecutor.accept(() -> handover.respond(token, learned));
            }));
        }
    }

    /** Returns the status, which any thread may read; null unless the operator has configured something that exposes it. */
    public StatusReporter statusReporter() {
        return statusReporter;
    }

    /** Sets an operator override; may be called from any thread. {@code then} runs on the loop's thread once the override is in effect. */
    public void setOperatorOverride(RequestedMode mode, Runnable then) {
        selectorThread.submit(() -> {
            post(new Event.ModeRequested(mode));
            then.run();
        });
    }

    /** Replaces the availability settings; may be called from any thread. */
    public void updateAvailabilitySettings(AvailabilitySettings availability) {
        selectorThread.submit(() -> post(new Event.AvailabilitySettingsChanged(availability)));
    }

    /** Returns the name of the phase; from other threads it may be slightly out of date. */
    public String phaseName() {
        return reducer.phase().name();
    }

    OperatorSettings.Clients clientSettings() {
        return operator.clients();
    }

    Phase phase() {
        return reducer.phase();
    }

    NamedSettings vocabulary() {
        return config.namedSettings();
    }

    long nowUs() {
        return clock.micros();
    }

    /** Passes an event to the reducer; one that is posted while effects are performed is queued. */
    void post(Event event) {
        events.add(event);
        if (reducing) {
            return;
        }
        reducing = true;
        try {
            while (!events.isEmpty()) {
                handle(events.remove());
            }
        } finally {
            reducing = false;
        }
    }

    private void handle(Event event) {
        try {
            reducer.reduce(event, clock.micros(), timersDueByUs).forEach(this::performSafely);
        } catch (RuntimeException e) {
            // a failing event must not end the process: the effects decided before the failure are performed, and timers go on
            EventLog.error(LogEvent.INTERNAL_ERROR, e, event.getClass().getSimpleName());
            List.copyOf(reducer.pendingEffects()).forEach(this::performSafely);
            wakeAtUs = clock.micros() + ERROR_RETRY_DELAY_US;
        }
    }

    /** Performs an effect; its failure must not prevent those after it. */
    private void performSafely(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            EventLog.error(LogEvent.INTERNAL_ERROR, e, effect.getClass().getSimpleName());
        }
    }

    /** Returns the milliseconds, rounded up, until the next timer of the reducer. */
    @Override
    public long millisUntilTimer() {
        return wakeAtUs == Long.MAX_VALUE ? TimeUnit.SECONDS.toMillis(1)
                : Math.max(0, (wakeAtUs - clock.micros() + 999) / 1000);
    }

    @Override
    public void onTimer(long inputReadNs) {
        timersDueByUs = clock.micros() - TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - inputReadNs);
        if (wakeAtUs <= timersDueByUs) {
            if (statusReporter != null) {
                statusReporter.timerFired(wakeAtUs);
            }
            wakeAtUs = Long.MAX_VALUE;
            post(new Event.Woken());
        }
    }

    // ---------------------------------------------------------------- effects
    private void perform(Effect effect) {
        if (effect instanceof Effect.WakeAt e) {
            wakeAtUs = e.at();
        } else if (effect instanceof Effect.StopListening) {
            listener.close(emptied -> post(new Event.ListenerClosed(emptied)));
        } else if (effect instanceof Effect.SendRequest e) {
            if (inbound.readPending(e.client())) {
                outbound.perform(e);
            } else {
                // the event of its closing is already queued
                post(new Event.RequestNotSent(e.connection()));
            }
        } else if (effect instanceof Effect.Stop) {
            stopping = true;
            stopIfAllWritten();
        } else if (effect instanceof Effect.SampleResources) {
            post(new Event.ResourcesSampled(statusReporter.sample(
                    (double) (inbound.size() + outbound.workerConnectionCount() + RESERVED_DESCRIPTORS) / config.sockets())));
        } else if (effect instanceof Effect.SaveState e) {
            stateSaver.accept(e.learned());
        } else if (effect instanceof Effect.PublishReport e) {
            statusReporter.publish(e.report());
        } else if (effect instanceof Effect.PublishMetrics e) {
            figures = e.metrics().withResources(inbound.clientInput(), heldMemory.snapshot(), selectorThread.use());
            if (processes != null && figures.ready()) {
                processes.register();
            }
        } else if (effect instanceof Effect.Log e) {
            EventLog.log(e.event(), e.values());
        } else if (!inbound.perform(effect, statusReporter)) {
            outbound.perform(effect);
        }
    }

    /** Completes the shutdown once the last response has been written. */
    void stopIfAllWritten() {
        if (stopping && !inbound.writing()) {
            stopped.countDown();
        }
    }

    HeldMemory heldMemory() {
        return heldMemory;
    }

    InboundConnections inbound() {
        return inbound;
    }
}
