package granitefold.net;

import granitefold.core.CloseReason;
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
import granitefold.wire.HttpMessages;
import granitefold.wire.InvalidInputException;
import granitefold.wire.NamedSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * The one loop: it brings events to the reducer and does what that asks for. All but the methods marked so runs on
 * the selector's thread.
 */
public final class EventLoop implements SelectorThread.TimerHandler {
    private static final int BACKLOG = 1024;
    private static final long AFTER_ERROR_US = 10_000;
    /**
     * Descriptors kept for files, the selector, the listener, the watch and datagrams (about 20), for a round of new
     * clients that is still to be counted, and for what is closed already but held until the next select.
     */
    private static final int RESERVED = 48;
    public static final int OPS_DESCRIPTORS = 20; // 12 connections, and its own
    private static final int SPARE = 16; // client connections beside those that are owed an answer
    /** The old version looks four times a second who asks, and the new one has warmed up meanwhile. */
    private static final long INHERIT_MS = 700;
    /** Bytes of requests held at once, as a share of the heap: with their copies on the way, well within it. */
    private static final long HELD_SHARE = 5;

    private final Config config;
    private final Clock clock = new Clock();
    private final SelectorThread sockets = new SelectorThread("dispatcher", this);
    private final Reducer reducer;
    private final Reducer.Bounds bounds;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<Long, ClientConnection> clients = new HashMap<>();
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long heldMost = Runtime.getRuntime().maxMemory() / HELD_SHARE;
    private ClientListener listener;
    private boolean reducing;
    private boolean stopping;
    private long wakeAt = Long.MAX_VALUE;
    private long lastClient;
    private long heldBytes;
    /** What the operator's file adds; null where no part of it needs the loop. */
    private final StatusReporter insight;
    private final OperatorSettings operator;
    private Consumer<LearnedState> keeper;
    private final OutboundConnections links;
    /** The other processes that serve at our address; null where nobody may start one. */
    private final ProcessRegistry company;
    /** Null where no other process may share our folder. */
    private final StateHandover handover;
    private volatile MetricsSnapshot figures;

    /** As the platform starts it. */
    public EventLoop(Config config) {
        this(config, OperatorSettings.NONE);
    }

    public EventLoop(Config config, OperatorSettings operator) {
        this.config = config;
        this.operator = operator;
        insight = operator.publishesAvailability() ? new StatusReporter(clock, operator.clients(), config.cores()) : null;
        if (operator.health() != null && operator.health().probesEnabled() && !config.probingAllowed()) {
            EventLog.log(LogEvent.PROBES_OFF, "the platform's settings forbid them");
        }
        // a request holds a connection on either side
        boolean ops = config.ops() != null;
        links = new OutboundConnections(this, sockets, config, operator);
        company = ops ? ProcessRegistry.at(config.listen()) : null;
        handover = ops && company.stem != null ? new StateHandover(company.stem, config.settingsIndexes()) : null;
        int checks = operator.maxDescriptors() + (ops ? OPS_DESCRIPTORS : 0);
        if (operator.maxDescriptors() > config.sockets() / 4) {
            throw new InvalidInputException("checks may hold " + operator.maxDescriptors() + " descriptors, more than a quarter of limits.sockets, "
                    + config.sockets());
        }
        int each = Math.max(SPARE + 1, (config.sockets() - RESERVED - checks) / 2);
        bounds = new Reducer.Bounds(each, each - SPARE, each, config.connectTimeoutUs(), config.idleCloseUs());
        reducer = new Reducer(config.namedSettings().settings(), bounds, config.seed(), operator.extras(config.probingAllowed()).withMetrics(ops));
    }

    /** Opens the sockets and begins; from the main thread. */
    public void start() throws Exception {
        LearnedState inherited = null;
        if (company != null && company.others()) {
            // the old version serves meanwhile, so that a cold start need not be any client's
            String word = handover == null ? null : handover.ask();
            long at = clock.micros();
            EventLog.log(LogEvent.WARM_UP_DONE, JitWarmup.run(config, bounds), (clock.micros() - at) / 1000);
            inherited = word == null ? null : handover.await(word, INHERIT_MS);
        }
        LearnedState former = inherited;
        // where the next version may start beside this one, it listens on the same address
        long openedNs = System.nanoTime();
        listener = new ClientListener(sockets, SocketOpener.openTcpListener(config.listen(), BACKLOG, company != null), this::accepted);
        DatagramChannel siblings = links.bindSiblings(company != null);
        EventLog.log(LogEvent.LISTENING, Address.text(address()));
        sockets.start();
        sockets.submit(() -> {
            links.openSiblings(siblings);
            post(new Event.SocketsOpened(config.initialWorkers(), Address.text(config.discovery())));
            if (former != null) {
                post(new Event.StateInherited(former));
            }
            sockets.listen(listener, openedNs);
        });
        started.countDown();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Reads the configuration anew and goes over to the discovery that it names; all else in it is for the next
     * start. A broken file changes nothing. From any thread but the selector's, which must not wait for a file.
     */
    public synchronized void reload(Path file) {
        try {
            String discovery = Address.text(Config.read(file).discovery());
            EventLog.log(LogEvent.CONFIGURATION_READ, discovery);
            sockets.submit(() -> post(new Event.DiscoveryAddressChanged(discovery)));
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.CONFIGURATION_KEPT, e.getMessage());
        }
    }

    /**
     * Tells the reducer that the program is to end, and waits until it has, or is about to be killed; from a shutdown hook.
     * Returns how much is left of the time that the process has.
     */
    public long terminate() throws InterruptedException {
        long from = System.nanoTime();
        started.await(reducer.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        boolean relieved = company != null && company.others();
        if (relieved) {
            EventLog.log(LogEvent.REPLACEMENT_SERVING, Address.text(config.listen()));
        }
        sockets.submit(() -> post(new Event.ShutdownRequested(relieved)));
        stopped.await(reducer.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        return Math.max(0, reducer.shutdownTimeoutUs() - TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - from));
    }

    public String name() {
        return config.name();
    }

    /** Who keeps what was learned; set before the start, where the operator has named a folder. */
    public void saveStateWith(Consumer<LearnedState> who) {
        keeper = who;
    }

    /** What a former life left; from any thread. */
    public void restore(LearnedState learned) {
        sockets.submit(() -> post(new Event.StateRecovered(learned)));
    }

    /** What the process has done and how it stands; null before the first. From any thread. */
    public MetricsSnapshot figures() {
        return figures;
    }

    /** Looks whether a new version asks what was learned; {@code writer} runs what may wait for a file. */
    public void answerHandoverRequests(Consumer<Runnable> writer) {
        // while this one does not serve, the wish is its own
        if (handover != null && figures != null && figures.ready()) {
            handover.look(word -> sockets.submit(() -> {
                LearnedState learned = reducer.learned();
                writer.accept(() -> handover.tell(word, learned));
            }));
        }
    }

    /** How the dispatcher stands, readable from any thread; null where nothing tells it. */
    public StatusReporter statusReporter() {
        return insight;
    }

    /** An operator's word; from any thread. {@code then} runs on the loop's, once it has been taken in. */
    public void setOperatorOverride(RequestedMode wish, Runnable then) {
        sockets.submit(() -> {
            post(new Event.ModeRequested(wish));
            then.run();
        });
    }

    /** Other figures of availability; from any thread. */
    public void updateAvailabilitySettings(AvailabilitySettings availability) {
        sockets.submit(() -> post(new Event.AvailabilitySettingsChanged(availability)));
    }

    /** The phase's name; from any thread, as it was at some moment lately. */
    public String phaseName() {
        return reducer.phase().name();
    }

    OperatorSettings.Clients clientRules() {
        return operator.clients();
    }

    Phase phase() {
        return reducer.phase();
    }

    NamedSettings words() {
        return config.namedSettings();
    }

    long now() {
        return clock.micros();
    }

    /** What is read now may have waited unread for so long. */
    long unseenUs() {
        return sockets.unseenUs();
    }

    /** Takes an event to the reducer; one that comes up while effects are performed waits for its turn. */
    void post(Event event) {
        events.add(event);
        if (reducing) {
            return;
        }
        reducing = true;
        try {
            while (!events.isEmpty()) {
                step(events.remove());
            }
        } finally {
            reducing = false;
        }
    }

    private void step(Event event) {
        try {
            reducer.reduce(event, clock.micros()).forEach(this::attempt);
        } catch (RuntimeException e) {
            // one broken event must not end the program: what was decided before it broke is done, and its timers go on
            EventLog.error(LogEvent.INTERNAL_ERROR, e, event.getClass().getSimpleName());
            List.copyOf(reducer.pendingEffects()).forEach(this::attempt);
            wakeAt = clock.micros() + AFTER_ERROR_US;
        }
    }

    /** Performs an effect; one that breaks must not take those behind it along. */
    private void attempt(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            EventLog.error(LogEvent.INTERNAL_ERROR, e, effect.getClass().getSimpleName());
        }
    }

    /** Milliseconds, rounded up, until the reducer is to be woken. */
    @Override
    public long millisUntilTimer() {
        return wakeAt == Long.MAX_VALUE ? TimeUnit.SECONDS.toMillis(1)
                : Math.max(0, (wakeAt - clock.micros() + 999) / 1000);
    }

    @Override
    public void onTimer() {
        if (millisUntilTimer() <= 0) {
            if (insight != null) {
                insight.woken(wakeAt);
            }
            wakeAt = Long.MAX_VALUE;
            post(new Event.Woken());
        }
    }

    // ---------------------------------------------------------------- effects
    private void perform(Effect effect) {
        if (effect instanceof Effect.Answer e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.answer(HttpMessages.answer(e.answer(), insight == null ? List.of() : insight.fields(client),
                        e.close() || client.wantsClose()), e.close());
            }
        } else if (effect instanceof Effect.TimeOutClient e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.timeOut();
            }
        } else if (effect instanceof Effect.CloseClient e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.closeUnlessOwed(e.reason());
            }
        } else if (effect instanceof Effect.WakeAt e) {
            wakeAt = e.at();
        } else if (effect instanceof Effect.StopListening) {
            listener.close(emptied -> post(new Event.ListenerClosed(emptied)));
        } else if (effect instanceof Effect.HalfCloseIdleClients || effect instanceof Effect.HalfCloseAllClients) {
            for (ClientConnection client : clients.values().toArray(ClientConnection[]::new)) {
                client.shutUnlessOwed(effect instanceof Effect.HalfCloseAllClients);
            }
        } else if (effect instanceof Effect.SendRequest e) {
            ClientConnection client = clients.get(e.client());
            if (client != null) {
                client.look();
            }
            if (clients.containsKey(e.client())) {
                links.perform(e);
            } else {
                // its end is among the events by now
                post(new Event.RequestNotSent(e.connection()));
            }
        } else if (effect instanceof Effect.Stop) {
            stopping = true;
            answered();
        } else if (effect instanceof Effect.SampleResources) {
            post(new Event.ResourcesSampled(insight.sample((double) (clients.size() + links.size() + RESERVED) / config.sockets())));
        } else if (effect instanceof Effect.SaveState e) {
            keeper.accept(e.learned());
        } else if (effect instanceof Effect.PublishReport e) {
            insight.publish(e.report());
        } else if (effect instanceof Effect.PublishMetrics e) {
            figures = e.metrics();
            if (company != null && figures.ready()) {
                company.enter();
            }
        } else if (effect instanceof Effect.Log e) {
            EventLog.log(e.event(), e.values());
        } else {
            links.perform(effect);
        }
    }

    /** An answer has been written: the last one of all lets the program end. */
    void answered() {
        if (stopping && clients.values().stream().noneMatch(ClientConnection::writing)) {
            stopped.countDown();
        }
    }

    // ---------------------------------------------------------------- clients
    private void accepted(SocketChannel channel, long waitsSinceNs) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        long id = ++lastClient;
        sockets.accept(channel, new SelectorThread.ConnectionHandler() {
            @Override
            public Connection opened(EndPoint endPoint) {
                ClientConnection client = new ClientConnection(endPoint, EventLoop.this, id, waitsSinceNs);
                clients.put(id, client);
                post(new Event.ClientConnected(id));
                return client;
            }

            @Override
            public void failed(Throwable why) { }
        });
    }

    /** Takes so many bytes of bodies into hand, or gives them back; false where that is too many. */
    boolean hold(int bytes) {
        if (bytes > 0 && heldBytes + bytes > heldMost) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    void closed(ClientConnection client, CloseReason reason) {
        if (clients.remove(client.id()) != null) {
            post(new Event.ClientClosed(client.id(), reason));
        }
    }
}
