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

/** All relays of a test bed, on one thread. */
public final class Relays implements Closeable {
    private static final int BACKLOG = 512;
    private static final long MAX_WAIT_MS = 1000;

    /** Is called when its channel is ready. */
    interface ChannelHandler {
        void ready(SelectionKey key) throws IOException;

        /** Handling the channel has failed. */
        void failed();
    }

    /** An action that is due at a time. */
    private record Timer(long atNs, long number, Runnable action) { }

    private final Selector selector = Selector.open();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atNs).thenComparingLong(Timer::number));
    private final Map<Edge, Fault> faults = new ConcurrentHashMap<>();
    /** Open connections; confined to the relays' thread. */
    private final Set<TcpRelay> connections = new HashSet<>();
    private final RandomGenerator random;
    final EdgeListener listener;
    private final Thread thread;
    private long timersCreated;
    private volatile boolean closed;
    /** When the last select returned. */
    private long selectedNs = System.nanoTime();
    /** How long the thread handled events between the last two selects. */
    private long busyNs;

    public Relays(long seed, EdgeListener listener) throws IOException {
        var rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        random = rng::nextLong;
        this.listener = listener;
        thread = new Thread(this::run, "relays");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the current fault of an edge. */
    public Fault fault(Edge edge) {
        return faults.getOrDefault(edge, Fault.NONE);
    }

    /** Sets the fault of an edge. Bytes held back by the previous fault are forwarded as soon as the new one allows. */
    public void setFault(Edge edge, Fault fault) {
        faults.put(edge, fault);
        tasks.add(() -> connections.stream().filter(c -> c.edge.equals(edge)).toList().forEach(TcpRelay::flush));
        selector.wakeup();
    }

    /** Resets all open connections of an edge and returns their number. */
    public int reset(Edge edge) {
        return call(() -> {
            List<TcpRelay> ofEdge = connections.stream().filter(c -> c.edge.equals(edge)).toList();
            ofEdge.forEach(TcpRelay::failed);
            return ofEdge.size();
        });
    }

    /**
     * Opens a listener that relays TCP connections and returns its address.
     *
     * @param target called once per connection for the address to connect to
     * @param sourceAddress the local address of the connections to the target, by which the target identifies the opener
     */
    public InetSocketAddress openTcp(Edge edge, Supplier<InetSocketAddress> target, InetAddress sourceAddress) {
        return call(() -> {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, new ChannelHandler() {
                @Override
                public void ready(SelectionKey key) throws IOException {
                    for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                        if (fault(edge).refuses()) {
                            TcpRelay.reset(c);
                        } else {
                            connections.add(new TcpRelay(Relays.this, edge, c, target.get(), sourceAddress));
                        }
                    }
                }

                @Override
                public void failed() { }
            });
            return (InetSocketAddress) server.getLocalAddress();
        });
    }

    /**
     * Opens a relay for datagrams between two parties: what {@code a} sends to the first address of the result reaches
     * {@code b} from the second one, and vice versa.
     */
    public List<InetSocketAddress> openUdp(Edge forward, InetSocketAddress a, Edge backward, InetSocketAddress b) {
        return call(() -> {
            DatagramChannel first = openDatagramChannel();
            DatagramChannel second = openDatagramChannel();
            first.register(selector, SelectionKey.OP_READ, new UdpRelay(this, forward, first, second, b));
            second.register(selector, SelectionKey.OP_READ, new UdpRelay(this, backward, second, first, a));
            return List.of((InetSocketAddress) first.getLocalAddress(), (InetSocketAddress) second.getLocalAddress());
        });
    }

    private static DatagramChannel openDatagramChannel() throws IOException {
        DatagramChannel channel = DatagramChannel.open(java.net.StandardProtocolFamily.INET);
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        channel.configureBlocking(false);
        return channel;
    }

    // ---------------------------------------------------------------- used by the relays, on their thread
    Selector selector() {
        return selector;
    }

    void schedule(long atNs, Runnable action) {
        timers.add(new Timer(atNs, timersCreated++, action));
    }

    /** Returns true with the given probability. */
    boolean chance(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Draws the latency of a chunk or datagram: the delay plus jitter. */
    long latencyNs(Fault fault) {
        return (fault.delayMs() + (fault.jitterMs() > 0 ? random.nextLong(fault.jitterMs() + 1) : 0)) * 1_000_000;
    }

    /** Returns the earliest time at which bytes that are read now can have arrived. */
    long earliestArrivalNs() {
        return selectedNs - busyNs;
    }

    void remove(TcpRelay connection) {
        connections.remove(connection);
    }

    // ---------------------------------------------------------------- event loop
    private <T> T call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        tasks.add(() -> {
            try {
                result.complete(task.call());
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
                long waitMs = timers.isEmpty() ? MAX_WAIT_MS
                        : Math.min(MAX_WAIT_MS, (timers.peek().atNs() - System.nanoTime() + 999_999) / 1_000_000);
                busyNs = System.nanoTime() - selectedNs;
                if (waitMs > 0) {
                    selector.select(waitMs);
                } else {
                    selector.selectNow();
                }
                selectedNs = System.nanoTime();
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
                    ready(key);
                }
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                while (!timers.isEmpty() && timers.peek().atNs() <= System.nanoTime()) {
                    timers.remove().action().run();
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } finally {
            for (SelectionKey key : new ArrayList<>(selector.keys())) {
                try {
                    key.channel().close();
                } catch (IOException e) {
                    // the thread ends; nothing more can be done about this channel
                }
            }
        }
    }

    private static void ready(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            if (key.isValid()) {
                handler.ready(key);
            }
        } catch (IOException e) {
            handler.failed();
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
