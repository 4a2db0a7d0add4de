package granitefold.standin.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.simple.RandomSource;

/** All relays of a proving ground, on one thread. */
public final class Relays implements Closeable {
    private static final int BACKLOG = 512;
    private static final long LONGEST_WAIT_MS = 1000;

    /** Whoever is told when its channel is ready. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;

        /** It broke. */
        void broken();
    }

    /** Something due at a time. */
    private record Due(long atNs, long number, Runnable what) { }

    private final Selector selector = Selector.open();
    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atNs).thenComparingLong(Due::number));
    private final Map<Edge, Fault> faults = new ConcurrentHashMap<>();
    /** Open connections. Only the relays' thread touches it. */
    private final Set<TcpRelay> open = new HashSet<>();
    private final RandomGenerator random;
    final EdgeListener listener;
    private final Thread thread;
    private long number;
    private volatile boolean closed;
    /** When the last select returned, and how long the thread was busy between the one before and that. */
    private long selectedNs = System.nanoTime();
    private long busyNs;

    public Relays(long seed, EdgeListener listener) throws IOException {
        var rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        random = rng::nextLong;
        this.listener = listener;
        thread = new Thread(this::run, "relays");
        thread.setDaemon(true);
        thread.start();
    }

    /** What is wrong with an edge now. */
    public Fault fault(Edge edge) {
        return faults.getOrDefault(edge, Fault.NONE);
    }

    /** From now on this is wrong with an edge. What was held back passes on as soon as the fault allows. */
    public void setFault(Edge edge, Fault fault) {
        faults.put(edge, fault);
        asked.add(() -> open.stream().filter(c -> c.edge.equals(edge)).toList().forEach(TcpRelay::flush));
        selector.wakeup();
    }

    /** Resets all connections that are open on an edge; returns how many. */
    public int reset(Edge edge) {
        return call(() -> {
            List<TcpRelay> hit = open.stream().filter(c -> c.edge.equals(edge)).toList();
            hit.forEach(TcpRelay::broken);
            return hit.size();
        });
    }

    /**
     * Opens a relay for connections. {@code to} is asked for each one; {@code as}: the address that the other side sees
     * them come from, so that it can tell who opened them.
     */
    public InetSocketAddress openTcp(Edge edge, Supplier<InetSocketAddress> to, InetAddress as) {
        return call(() -> {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, new Ready() {
                @Override
                public void ready(SelectionKey key) throws IOException {
                    for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                        if (fault(edge).refuses()) {
                            TcpRelay.reset(c);
                        } else {
                            open.add(new TcpRelay(Relays.this, edge, c, to.get(), as));
                        }
                    }
                }

                @Override
                public void broken() { }
            });
            return (InetSocketAddress) server.getLocalAddress();
        });
    }

    /**
     * Opens the two ends of a way for datagrams between two parties: what {@code a} sends to the first address reaches
     * {@code b} from the second one, and the other way round.
     */
    public List<InetSocketAddress> openUdp(Edge there, InetSocketAddress a, Edge back, InetSocketAddress b) {
        return call(() -> {
            DatagramChannel first = datagrams();
            DatagramChannel second = datagrams();
            first.register(selector, SelectionKey.OP_READ, new UdpRelay(this, there, first, second, b));
            second.register(selector, SelectionKey.OP_READ, new UdpRelay(this, back, second, first, a));
            return List.of((InetSocketAddress) first.getLocalAddress(), (InetSocketAddress) second.getLocalAddress());
        });
    }

    private static DatagramChannel datagrams() throws IOException {
        DatagramChannel c = DatagramChannel.open(java.net.StandardProtocolFamily.INET);
        c.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        c.configureBlocking(false);
        return c;
    }

    // ---------------------------------------------------------------- for the relays, on their thread
    Selector selector() {
        return selector;
    }

    void at(long atNs, Runnable what) {
        due.add(new Due(atNs, number++, what));
    }

    boolean chance(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    /** How long a piece is on its way, beside what holds it. */
    long wayNs(Fault f) {
        return (f.delayMs() + (f.jitterMs() > 0 ? random.nextLong(f.jitterMs() + 1) : 0)) * 1_000_000;
    }

    /** What is read now has come since then. */
    long readSinceNs() {
        return selectedNs - busyNs;
    }

    void gone(TcpRelay connection) {
        open.remove(connection);
    }

    // ---------------------------------------------------------------- the thread
    private <T> T call(Callable<T> what) {
        CompletableFuture<T> result = new CompletableFuture<>();
        asked.add(() -> {
            try {
                result.complete(what.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        selector.wakeup();
        return result.join();
    }

    private void run() {
        try {
            while (!closed) {
                long wait = due.isEmpty() ? LONGEST_WAIT_MS
                        : Math.min(LONGEST_WAIT_MS, (due.peek().atNs() - System.nanoTime() + 999_999) / 1_000_000);
                busyNs = System.nanoTime() - selectedNs;
                if (wait > 0) {
                    selector.select(wait);
                } else {
                    selector.selectNow();
                }
                selectedNs = System.nanoTime();
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    ready(key);
                }
                selector.selectedKeys().clear();
                for (Runnable r = asked.poll(); r != null; r = asked.poll()) {
                    r.run();
                }
                while (!due.isEmpty() && due.peek().atNs() <= System.nanoTime()) {
                    due.remove().what().run();
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } finally {
            for (SelectionKey key : new ArrayList<>(selector.keys())) {
                try {
                    key.channel().close();
                } catch (IOException e) {
                    // it is over anyway
                }
            }
        }
    }

    private static void ready(SelectionKey key) {
        Ready ready = (Ready) key.attachment();
        try {
            if (key.isValid()) {
                ready.ready(key);
            }
        } catch (IOException e) {
            ready.broken();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }
}
