package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Closed-loop load: each client sends its next request when it has the answer to the last one, on a persistent connection or
 * on a new connection per request. A request that was refused, or whose connection ended without an answer, is counted as
 * such and sent once more on a new connection.
 */
public final class ClosedLoopClients implements Closeable {
    private static final int TIMEOUT_MS = 20_000;
    /** Pause after a refused connection. */
    private static final long RECONNECT_PAUSE_NS = 5_000_000;

    /** The outcome of one sending of a request. */
    public enum End {
        SERVED, REJECTED, FAILED,
        /** The connection was refused, or reset while it was being opened. */
        REFUSED,
        /** The connection ended before the first byte of an answer. */
        UNHEARD,
        /** The connection ended within the answer. */
        CUT
    }

    private final InetSocketAddress address;
    private final String name;
    private final long workUs;
    private final boolean keepAlive;
    private final Map<End, AtomicLong> ends = new EnumMap<>(End.class);
    private final AtomicLong requests = new AtomicLong();
    private final CountDownLatch runningClients;
    private volatile boolean stopped;
    /** The exception that ended a client before {@link #stop}. */
    private volatile Exception failure;

    /** Starts the clients; each request takes {@code workUs}. {@code keepAlive}: whether connections are persistent. */
    public ClosedLoopClients(String name, InetSocketAddress address, int clients, long workUs, boolean keepAlive) {
        this.name = name;
        this.address = address;
        this.workUs = workUs;
        this.keepAlive = keepAlive;
        for (End e : End.values()) {
            ends.put(e, new AtomicLong());
        }
        runningClients = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            int number = i;
            LoopbackServer.startDaemon(() -> run(number), "client");
        }
    }

    private void run(int number) {
        HttpConnection connection = null;
        try {
            for (long i = 0; !stopped; i++) {
                String id = name + "-" + number + "-" + i;
                requests.incrementAndGet();
                End end = End.UNHEARD;
                for (int sent = 0; sent < 2 && (end == End.UNHEARD || end == End.REFUSED); sent++) {
                    if (connection == null) {
                        connection = open();
                    }
                    end = connection == null ? End.REFUSED : send(connection, id + "-" + sent);
                    ends.get(end).incrementAndGet();
                    if (connection != null && (!keepAlive || end.compareTo(End.FAILED) > 0
                            || "close".equals(connection.headers.get("connection")))) {
                        connection.close();
                        connection = null;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            failure = e;
        } finally {
            runningClients.countDown();
        }
    }

    private HttpConnection open() throws IOException {
        try {
            return HttpConnection.open(address, TIMEOUT_MS);
        } catch (SocketException e) {
            // refused, or reset in the accept queue of a listener that closes
            LockSupport.parkNanos(RECONNECT_PAUSE_NS);
            return null;
        }
    }

    private End send(HttpConnection connection, String id) {
        try {
            connection.headers = Map.of();
            connection.write("POST /ficha?sid=1 HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\n"
                    + "X-Estimate: " + workUs + "\r\nContent-Length: 4\r\n\r\nsoup");
            if (!connection.read()) {
                return End.UNHEARD;
            }
            return connection.status() == 200 ? End.SERVED
                    : connection.status() == 503 || connection.status() == 429 ? End.REJECTED : End.FAILED;
        } catch (IOException e) {
            return connection.messageStarted ? End.CUT : End.UNHEARD;
        }
    }

    /** Returns the number of requests so far, each counted once, even if it was sent twice. */
    public long requests() {
        return requests.get();
    }

    public long count(End end) {
        return ends.get(end).get();
    }

    /** Waits until the given number of requests have been served. */
    public void awaitServed(long count) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (count(End.SERVED) < count) {
            if (System.nanoTime() - deadlineNs > 0) {
                throw new IllegalStateException("too few requests were served: " + this);
            }
            Thread.sleep(5);
        }
    }

    /** Starts no further requests, and waits for the answers to those that were sent. */
    public void stop() throws InterruptedException {
        stopped = true;
        if (!runningClients.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("a client is still waiting for an answer: " + this);
        }
        if (failure != null) {
            throw new IllegalStateException("a client failed: " + this, failure);
        }
    }

    @Override
    public void close() {
        stopped = true;
    }

    @Override
    public String toString() {
        List<String> counts = new ArrayList<>(List.of("requests " + requests()));
        ends.forEach((e, n) -> counts.add(e + " " + n));
        return String.join(", ", counts);
    }
}
