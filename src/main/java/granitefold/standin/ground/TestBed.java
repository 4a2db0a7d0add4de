package granitefold.standin.ground;

import granitefold.standin.edge.Edge;
import granitefold.standin.edge.Edge.Kind;
import granitefold.standin.edge.EdgeListener;
import granitefold.standin.edge.Relays;
import granitefold.standin.faults.SystemCallFault;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import granitefold.standin.history.RuleTerms;
import granitefold.standin.world.DeduplicationWindow;
import granitefold.standin.world.Registry;
import granitefold.standin.world.Worker;
import granitefold.standin.world.WorkerSpec;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A fleet of dispatcher processes with simulated workers, discovery and clients, and a relay on each edge between them. */
public final class TestBed implements Closeable {
    static final String CLIENTS = "clients", DISCOVERY = "discovery", CONTROLLER = "controller";

    final Scenario scenario;
    final long seed;
    final History history = new History();
    final Relays relays;
    final Registry registry = new Registry(history);
    final List<DispatcherUnderTest> fleet = new ArrayList<>();
    final LoadBalancer loadBalancer;
    final LoadGenerator loadGenerator;
    private final ProcessorWaitMonitor processorWaits;
    private final MemoryMonitor memory;
    final Path folder;
    /** Concurrent: workers are added while faults are set on other edges. */
    private final List<Edge> edges = new CopyOnWriteArrayList<>();
    private final Map<String, Worker> workers = new ConcurrentHashMap<>();
    /** The relay's address for each pair of dispatcher and worker, by the text of the edge. */
    private final Map<String, InetSocketAddress> relayAddresses = new ConcurrentHashMap<>();
    private final Map<String, DeduplicationWindow> keyWindows = new HashMap<>();
    private final List<Registry.Agent> agents = new ArrayList<>();
    private final UniformRandomProvider random;
    private int workersCreated;

    /** Prepares the test bed without starting a process. {@code jar}: the dispatchers' jar. */
    public TestBed(Scenario scenario, long seed, Path jar) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        folder = Files.createTempDirectory("ground");
        relays = new Relays(seed, new EdgeListener() {
            @Override
            public void sent(Edge edge, InetSocketAddress conn, long earliestNs, long atNs) {
                recordPeerEvent(What.SENT, edge, conn, atNs, (atNs - earliestNs) / 1000);
            }

            @Override
            public void closed(Edge edge, InetSocketAddress conn, long atNs) {
                recordPeerEvent(What.CLOSED, edge, conn, atNs, 0);
            }

            @Override
            public void forwarded(Edge edge, InetSocketAddress opener, long atNs) {
                recordClientEvent(What.FORWARDED, edge, opener, atNs);
            }

            @Override
            public void closeForwarded(Edge edge, InetSocketAddress opener, long atNs) {
                recordClientEvent(What.CLOSE_FORWARDED, edge, opener, atNs);
            }
        });
        scenario.classes().forEach((name, c) -> {
            if (c.effect() == RuleTerms.Effect.KEYED) {
                keyWindows.put(name, new DeduplicationWindow(c.keyWindowUs()));
            }
        });
        for (int i = 0; i < scenario.dispatchers().count(); i++) {
            String name = "n" + i;
            fleet.add(new DispatcherUnderTest(name, i, DispatcherConfig.of(scenario, name, i, random.nextLong()), scenario.dispatchers(),
                    folder, jar, history));
        }
        for (int i = 0; i < scenario.workers().count(); i++) {
            addWorker(false);
        }
        for (DispatcherUnderTest dispatcher : fleet) {
            connectDispatcher(dispatcher);
        }
        connectSiblings();
        processorWaits = new ProcessorWaitMonitor(fleet, history);
        memory = new MemoryMonitor(fleet, history, scenario.dispatchers().memoryMb());
        loadBalancer = new LoadBalancer(fleet);
        loadGenerator = new LoadGenerator(scenario, loadBalancer, history, seed + 1);
    }

    private void recordPeerEvent(What what, Edge edge, InetSocketAddress conn, long atNs, long number) {
        if (edge.kind() == Kind.PEER && conn != null) {
            history.add(new Entry(history.at(atNs), what, edge.from(), edge.to(), null, null, null, null, Worker.addressText(conn), number, null));
        }
    }

    private void recordClientEvent(What what, Edge edge, InetSocketAddress opener, long atNs) {
        if (edge.kind() == Kind.CLIENT && opener != null) {
            history.add(new Entry(history.at(atNs), what, edge.from(), edge.to(), null, null, null, null, Worker.addressText(opener), 0, null));
        }
    }

    /** Returns the local address of a dispatcher's outgoing connections; workers identify the dispatcher by it. */
    private static InetAddress sourceAddress(DispatcherUnderTest dispatcher) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 10, 0, (byte) (dispatcher.index + 1)});
    }

    private static String dispatcherOf(InetSocketAddress from) {
        byte[] a = from.getAddress().getAddress();
        return a[1] == 10 ? "n" + (a[3] - 1) : "nobody";
    }

    // ---------------------------------------------------------------- workers and edges
    /** Adds a worker; {@code slowStart}: it starts now, at reduced speed. */
    Worker addWorker(boolean slowStart) throws IOException {
        WorkerSpec s = scenario.workers().spec();
        double speed = s.speed() * (1 + scenario.workers().spread() * (2 * random.nextDouble() - 1));
        Worker w = new Worker("s" + workersCreated++, new WorkerSpec(s.slots(), speed, s.queueLimit(), s.slowStartFrom(), s.slowStartUs(),
                s.overloadMultiple(), s.overloadWindowUs(), s.meanWorkUs(), s.cachedKeys(), s.fetchUs()), slowStart, keyWindows, history,
                        TestBed::dispatcherOf);
        workers.put(w.name, w);
        for (DispatcherUnderTest dispatcher : fleet) {
            connectWorker(dispatcher, w);
        }
        registry.add(w);
        return w;
    }

    private void connectWorker(DispatcherUnderTest dispatcher, Worker w) throws IOException {
        Edge e = edge(Kind.PEER, dispatcher.name, w.name);
        relayAddresses.put(e.toString(), relays.openTcp(e, w::socketAddress, sourceAddress(dispatcher)));
    }

    Worker worker(String name) {
        return workers.get(name);
    }

    private Edge edge(Kind kind, String from, String to) {
        Edge e = new Edge(kind, from, to);
        edges.add(e);
        return e;
    }

    /** Returns the edges of the given kinds that match the predicate. */
    synchronized List<Edge> edges(List<Kind> kinds, java.util.function.Predicate<Edge> which) {
        return edges.stream().filter(e -> kinds.contains(e.kind())).filter(which).toList();
    }

    // ---------------------------------------------------------------- a dispatcher's edges
    private void connectDispatcher(DispatcherUnderTest dispatcher) throws IOException {
        Registry.Agent agent = registry.new Agent(dispatcher.name, w -> DispatcherUnderTest.format(relayAddresses.get(dispatcher.name + ">" + w)));
        agents.add(agent);
        InetSocketAddress discovery = relays.openTcp(edge(Kind.DISCOVERY, dispatcher.name, DISCOVERY), agent::socketAddress, sourceAddress(dispatcher));
        dispatcher.clientAddress = relays.openTcp(edge(Kind.CLIENT, CLIENTS, dispatcher.name), () -> dispatcher.listenAddress,
                InetAddress.getLoopbackAddress());
        dispatcher.controlAddress = relays.openTcp(edge(Kind.CONTROL, CONTROLLER, dispatcher.name), () -> dispatcher.keeperAddress,
                InetAddress.getLoopbackAddress());
        dispatcher.config().put("listen", DispatcherUnderTest.format(dispatcher.listenAddress)).put("discovery", DispatcherUnderTest.format(discovery));
        refreshKnownWorkers(dispatcher);
    }

    /** Writes the current worker list into a dispatcher's configuration, as its initial list. */
    void refreshKnownWorkers(DispatcherUnderTest dispatcher) throws IOException {
        dispatcher.config().set("known", DispatcherConfig.JSON.readTree(
                registry.listJson(w -> DispatcherUnderTest.format(relayAddresses.get(dispatcher.name + ">" + w)))));
    }

    private void connectSiblings() {
        int n = fleet.size();
        InetSocketAddress[][] to = new InetSocketAddress[n][n];
        for (int i = 0; i < n; i++) {
            to[i][i] = fleet.get(i).siblingAddress;
            for (int j = i + 1; j < n && scenario.dispatchers().gossip(); j++) {
                // a sends to ends.get(0), and its datagrams reach b from ends.get(1); and the other way round
                DispatcherUnderTest a = fleet.get(i);
                DispatcherUnderTest b = fleet.get(j);
                List<InetSocketAddress> ends = relays.openUdp(edge(Kind.SIBLING, a.name, b.name), a.siblingAddress,
                        edge(Kind.SIBLING, b.name, a.name), b.siblingAddress);
                to[i][j] = ends.get(0);
                to[j][i] = ends.get(1);
            }
        }
        for (int i = 0; i < n && scenario.dispatchers().gossip(); i++) {
            fleet.get(i).config().put("peer_listen", DispatcherUnderTest.format(fleet.get(i).siblingAddress))
                    .set("peers", DispatcherConfig.addresses(Stream.of(to[i]).map(DispatcherUnderTest::format).toList()));
        }
    }

    DispatcherUnderTest dispatcher(String name) {
        return fleet.stream().filter(dispatcher -> dispatcher.name.equals(name)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown dispatcher " + name));
    }

    // ---------------------------------------------------------------- lifecycle of the fleet
    /** Starts all dispatchers and waits until each is ready. */
    public void start() throws IOException, InterruptedException {
        processorWaits.start();
        memory.start();
        for (DispatcherUnderTest dispatcher : fleet) {
            dispatcher.start();
        }
        for (DispatcherUnderTest dispatcher : fleet) {
            dispatcher.awaitReady();
            loadBalancer.add(dispatcher);
        }
    }

    /** Starts a new process of a dispatcher; the load balancer uses it once it is ready. */
    void restart(DispatcherUnderTest dispatcher) throws IOException {
        refreshKnownWorkers(dispatcher);
        dispatcher.start();
        addToBalancerWhenReady(dispatcher);
    }

    /** Adds a dispatcher to the load balancer once the process that the test bed or its keeper starts is ready. */
    void addToBalancerWhenReady(DispatcherUnderTest dispatcher) {
        granitefold.standin.LoopbackServer.startDaemon(() -> {
            try {
                dispatcher.awaitReady();
                loadBalancer.add(dispatcher);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IllegalStateException e) {
                history.add(What.PROCESS, dispatcher.name, "not ready: " + e.getMessage().lines().findFirst().orElse(""));
            }
        }, "await " + dispatcher.name);
    }

    /** Returns how often each kind of system call fault was injected. */
    Map<String, Long> injectedFaults() {
        Map<String, Long> counts = new java.util.TreeMap<>();
        for (DispatcherUnderTest dispatcher : fleet) {
            for (SystemCallFault fault : dispatcher.faults == null ? new SystemCallFault[0] : SystemCallFault.values()) {
                counts.merge(fault.name(), dispatcher.faults.injected(fault), Long::sum);
            }
        }
        return counts;
    }

    /** Shuts all running dispatchers down gracefully and waits for them. */
    void shutDown() throws InterruptedException {
        List<DispatcherUnderTest> alive = fleet.stream().filter(DispatcherUnderTest::alive).toList();
        alive.forEach(DispatcherUnderTest::shutDown);
        for (DispatcherUnderTest dispatcher : alive) {
            if (!dispatcher.awaitAllExited(DispatcherUnderTest.TIMEOUT_S)) {
                history.add(What.PROCESS, dispatcher.name, "crashed: it did not end in " + DispatcherUnderTest.TIMEOUT_S + " s");
            }
        }
    }

    @Override
    public void close() throws IOException {
        processorWaits.close();
        memory.close();
        loadGenerator.stop();
        for (DispatcherUnderTest dispatcher : fleet) {
            dispatcher.close();
        }
        for (Registry.Agent a : agents) {
            a.close();
        }
        for (Worker w : workers.values()) {
            w.close();
        }
        relays.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
