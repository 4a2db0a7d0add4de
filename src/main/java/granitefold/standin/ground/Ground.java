package granitefold.standin.ground;

import granitefold.standin.edge.Edge;
import granitefold.standin.edge.Edge.Kind;
import granitefold.standin.edge.EdgeListener;
import granitefold.standin.edge.Relays;
import granitefold.standin.faults.SystemCallFault;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import granitefold.standin.history.Terms;
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
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A fleet of real processes, the world round it, and a relay on each edge between them. */
public final class Ground implements Closeable {
    static final String CLIENTS = "clients", DISCOVERY = "discovery", CONTROLLER = "controller";

    private static final long PULSE_NS = 5_000_000, LATE_US = 10_000;

    private volatile boolean closed;
    final Scenario scenario;
    final long seed;
    final History history = new History();
    final Relays relays;
    final Registry registry = new Registry(history);
    final List<Member> members = new ArrayList<>();
    final Front front;
    final Clients clients;
    final Path folder;
    /** Workers join while others are being faulted. */
    private final List<Edge> edges = new CopyOnWriteArrayList<>();
    private final Map<String, Worker> workers = new ConcurrentHashMap<>();
    /** Where a dispatcher finds a cocinero. */
    private final Map<String, InetSocketAddress> ways = new ConcurrentHashMap<>();
    private final Map<String, DeduplicationWindow> windows = new HashMap<>();
    private final List<Registry.Agent> agents = new ArrayList<>();
    private final UniformRandomProvider random;
    private int workersMade;

    /** Nothing of it runs yet. {@code jar}: of the dispatchers. */
    public Ground(Scenario scenario, long seed, Path jar) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        folder = Files.createTempDirectory("ground");
        relays = new Relays(seed, new EdgeListener() {
            @Override
            public void sent(Edge edge, InetSocketAddress conn, long earliestNs, long atNs) {
                seen(What.SENT, edge, conn, atNs, (atNs - earliestNs) / 1000);
            }

            @Override
            public void closed(Edge edge, InetSocketAddress conn, long atNs) {
                seen(What.CLOSED, edge, conn, atNs, 0);
            }

            @Override
            public void forwarded(Edge edge, InetSocketAddress opener, long atNs) {
                passedOn(What.FORWARDED, edge, opener, atNs);
            }

            @Override
            public void closeForwarded(Edge edge, InetSocketAddress opener, long atNs) {
                passedOn(What.CLOSE_FORWARDED, edge, opener, atNs);
            }
        });
        scenario.classes().forEach((name, c) -> {
            if (c.effect() == Terms.Effect.KEYED) {
                windows.put(name, new DeduplicationWindow(c.windowUs()));
            }
        });
        for (int i = 0; i < scenario.dispatchers().count(); i++) {
            String name = "n" + i;
            members.add(new Member(name, i, Settings.of(scenario, name, i, random.nextLong()), scenario.dispatchers(), folder, jar, history));
        }
        for (int i = 0; i < scenario.cocineros().count(); i++) {
            worker(false);
        }
        for (Member m : members) {
            wire(m);
        }
        datagrams();
        front = new Front(members);
        clients = new Clients(scenario, front, history, seed + 1);
    }

    private void seen(What what, Edge edge, InetSocketAddress conn, long atNs, long number) {
        if (edge.kind() == Kind.PEER && conn != null) {
            history.add(new Entry(history.at(atNs), what, edge.from(), edge.to(), null, null, null, null, Worker.addressText(conn), number, null));
        }
    }

    private void passedOn(What what, Edge edge, InetSocketAddress opener, long atNs) {
        if (edge.kind() == Kind.CLIENT && opener != null) {
            history.add(new Entry(history.at(atNs), what, edge.from(), edge.to(), null, null, null, null, Worker.addressText(opener), 0, null));
        }
    }

    /** The address that a dispatcher's connections come from, as the world sees it. */
    private static InetAddress as(Member m) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 10, 0, (byte) (m.number + 1)});
    }

    private static String whose(InetSocketAddress from) {
        byte[] a = from.getAddress().getAddress();
        return a[1] == 10 ? "n" + (a[3] - 1) : "nobody";
    }

    // ---------------------------------------------------------------- the world
    /** Another cocinero; {@code cold}: one that starts now. */
    Worker worker(boolean cold) throws IOException {
        WorkerSpec s = scenario.cocineros().spec();
        double speed = s.speed() * (1 + scenario.cocineros().spread() * (2 * random.nextDouble() - 1));
        Worker w = new Worker("s" + workersMade++, new WorkerSpec(s.slots(), speed, s.queueLimit(), s.slowStartFrom(), s.slowStartUs(), s.overloadMultiple(),
                s.overloadWindowUs(), s.meanWorkUs(), s.cachedKeys(), s.fetchUs()), cold, windows, history, Ground::whose);
        workers.put(w.name, w);
        for (Member m : members) {
            way(m, w);
        }
        registry.add(w);
        return w;
    }

    private void way(Member m, Worker w) throws IOException {
        Edge e = edge(Kind.PEER, m.name, w.name);
        ways.put(e.toString(), relays.openTcp(e, w::socketAddress, as(m)));
    }

    Worker worker(String name) {
        return workers.get(name);
    }

    private Edge edge(Kind kind, String from, String to) {
        Edge e = new Edge(kind, from, to);
        edges.add(e);
        return e;
    }

    /** All edges of some kinds that a test finds right. */
    synchronized List<Edge> edges(List<Kind> kinds, java.util.function.Predicate<Edge> which) {
        return edges.stream().filter(e -> kinds.contains(e.kind())).filter(which).toList();
    }

    // ---------------------------------------------------------------- a dispatcher's edges
    private void wire(Member m) throws IOException {
        Registry.Agent agent = registry.new Agent(m.name, w -> Member.text(ways.get(m.name + ">" + w)));
        agents.add(agent);
        InetSocketAddress discovery = relays.openTcp(edge(Kind.DISCOVERY, m.name, DISCOVERY), agent::socketAddress, as(m));
        m.front = relays.openTcp(edge(Kind.CLIENT, CLIENTS, m.name), () -> m.listen, InetAddress.getLoopbackAddress());
        m.control = relays.openTcp(edge(Kind.CONTROL, CONTROLLER, m.name), () -> m.keeper, InetAddress.getLoopbackAddress());
        m.config().put("listen", Member.text(m.listen)).put("discovery", Member.text(discovery));
        known(m);
    }

    /** What a dispatcher knows of the list when it starts: what there is now. */
    void known(Member m) throws IOException {
        m.config().set("known", Settings.JSON.readTree(registry.listJson(w -> Member.text(ways.get(m.name + ">" + w)))));
    }

    private void datagrams() {
        int n = members.size();
        InetSocketAddress[][] to = new InetSocketAddress[n][n];
        for (int i = 0; i < n; i++) {
            to[i][i] = members.get(i).siblings;
            for (int j = i + 1; j < n && scenario.dispatchers().talk(); j++) {
                // i sends to the first, which j sees as the second; and back
                Member a = members.get(i);
                Member b = members.get(j);
                List<InetSocketAddress> ends = relays.openUdp(edge(Kind.SIBLING, a.name, b.name), a.siblings, edge(Kind.SIBLING, b.name, a.name), b.siblings);
                to[i][j] = ends.get(0);
                to[j][i] = ends.get(1);
            }
        }
        for (int i = 0; i < n && scenario.dispatchers().talk(); i++) {
            members.get(i).config().put("peer_listen", Member.text(members.get(i).siblings))
                    .set("peers", Settings.addresses(Stream.of(to[i]).map(Member::text).toList()));
        }
    }

    Member member(String name) {
        return members.stream().filter(m -> m.name.equals(name)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no dispatcher " + name));
    }

    // ---------------------------------------------------------------- the fleet's life
    /** Notes when the harness itself is short of processor time: what it saw then, it saw late. */
    private void watchLag() {
        while (!closed) {
            long due = System.nanoTime() + PULSE_NS;
            LockSupport.parkNanos(PULSE_NS);
            long lateUs = (System.nanoTime() - due) / 1000;
            if (lateUs > LATE_US) {
                history.add(new Entry(history.now(), What.LATE, "harness", null, null, null, null, null, null, lateUs, null));
            }
        }
    }

    /** Starts all dispatchers and waits until each serves. */
    public void start() throws IOException, InterruptedException {
        granitefold.standin.LoopbackServer.startDaemon(this::watchLag, "pulse");
        for (Member m : members) {
            m.start();
        }
        for (Member m : members) {
            m.awaitReady();
            front.in(m);
        }
    }

    /** Starts a dispatcher's next process; it is taken in by the front when it serves. */
    void restart(Member m) throws IOException {
        known(m);
        m.start();
        takeInOnceReady(m);
    }

    /** It starts, by us or by its keeper: the front takes it in once it serves. */
    void takeInOnceReady(Member m) {
        granitefold.standin.LoopbackServer.startDaemon(() -> {
            try {
                m.awaitReady();
                front.in(m);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IllegalStateException e) {
                history.add(What.PROCESS, m.name, "not ready: " + e.getMessage().lines().findFirst().orElse(""));
            }
        }, "await " + m.name);
    }

    /** How often each kind of fault in system calls was injected. */
    Map<String, Long> injectedFaults() {
        Map<String, Long> counts = new java.util.TreeMap<>();
        for (Member m : members) {
            for (SystemCallFault fault : m.faults == null ? new SystemCallFault[0] : SystemCallFault.values()) {
                counts.merge(fault.name(), m.faults.injected(fault), Long::sum);
            }
        }
        return counts;
    }

    /** Ends all dispatchers that live, in order, and waits for them. */
    void end() throws InterruptedException {
        List<Member> alive = members.stream().filter(Member::alive).toList();
        alive.forEach(Member::end);
        for (Member m : alive) {
            if (!m.awaitGone(Member.PATIENCE_S)) {
                history.add(What.PROCESS, m.name, "crashed: it did not end in " + Member.PATIENCE_S + " s");
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        clients.stop();
        members.forEach(Member::close);
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
