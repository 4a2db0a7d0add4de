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
 * Clients that each send one request after the other, on a connection that they keep for as long as it is kept, or on a
 * new one each. What a dispatcher turned back unheard they count, and send once more on a new connection.
 */
public final class ClosedLoopClients implements Closeable {
    private static final int PATIENCE_MS = 20_000;
    /** Before another connect where nobody listened. */
    private static final long REFUSED_NS = 5_000_000;

    /** What became of a request, or of one sending of it. */
    public enum End {
        SERVED, REJECTED, FAILED,
        /** No connection was to be had. */
        REFUSED,
        /** The connection ended with no byte of an answer. */
        UNHEARD,
        /** The answer broke off. */
        CUT
    }

    private final InetSocketAddress to;
    private final String name;
    private final long workUs;
    private final boolean keeps;
    private final Map<End, AtomicLong> ends = new EnumMap<>(End.class);
    private final AtomicLong asked = new AtomicLong();
    private final CountDownLatch over;
    private volatile boolean stopped;
    /** What ended a client before it was told to stop. */
    private volatile Exception failure;

    /** So many clients from now on, with requests of so much work each; {@code keeps}: connections. */
    public ClosedLoopClients(String name, InetSocketAddress to, int clients, long workUs, boolean keeps) {
        this.name = name;
        this.to = to;
        this.workUs = workUs;
        this.keeps = keeps;
        for (End e : End.values()) {
            ends.put(e, new AtomicLong());
        }
        over = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            int number = i;
            LoopbackServer.startDaemon(() -> run(number), "client");
        }
    }

    private void run(int number) {
        HttpConnection e = null;
        try {
            for (long i = 0; !stopped; i++) {
                String id = name + "-" + number + "-" + i;
                asked.incrementAndGet();
                End end = End.UNHEARD;
                for (int sent = 0; sent < 2 && (end == End.UNHEARD || end == End.REFUSED); sent++) {
                    if (e == null) {
                        e = open();
                    }
                    end = e == null ? End.REFUSED : send(e, id + "-" + sent);
                    ends.get(end).incrementAndGet();
                    if (e != null && (!keeps || end.compareTo(End.FAILED) > 0 || "close".equals(e.headers.get("connection")))) {
                        e.close();
                        e = null;
                    }
                }
            }
        } catch (IOException | RuntimeException broken) {
            failure = broken;
        } finally {
            over.countDown();
        }
    }

    private HttpConnection open() throws IOException {
        try {
            return HttpConnection.open(to, PATIENCE_MS);
        } catch (SocketException e) {
            // refused, or reset in the queue of a listener that closes
            LockSupport.parkNanos(REFUSED_NS);
            return null;
        }
    }

    private End send(HttpConnection e, String id) {
        try {
            e.headers = Map.of();
            e.write("POST /ficha?sid=1 HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: 5000\r\n"
                    + "X-Estimate: " + workUs + "\r\nContent-Length: 4\r\n\r\nsoup");
            if (!e.read()) {
                return End.UNHEARD;
            }
            return e.status() == 200 ? End.SERVED : e.status() == 503 || e.status() == 429 ? End.REJECTED : End.FAILED;
        } catch (IOException broken) {
            return e.messageStarted ? End.CUT : End.UNHEARD;
        }
    }

    /** Requests begun so far, each counted once however often it was sent. */
    public long requests() {
        return asked.get();
    }

    public long count(End end) {
        return ends.get(end).get();
    }

    /** Waits until so many requests were served. */
    public void awaitServed(long count) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (count(End.SERVED) < count) {
            if (System.nanoTime() - until > 0) {
                throw new IllegalStateException("only " + this);
            }
            Thread.sleep(5);
        }
    }

    /** Ends with the requests that are out, and waits for them. */
    public void stop() throws InterruptedException {
        stopped = true;
        if (!over.await(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("a client still waits for its answer: " + this);
        }
        if (failure != null) {
            throw new IllegalStateException("a client ended by itself: " + this, failure);
        }
    }

    @Override
    public void close() {
        stopped = true;
    }

    @Override
    public String toString() {
        List<String> all = new ArrayList<>(List.of("asked " + requests()));
        ends.forEach((e, n) -> all.add(e + " " + n));
        return String.join(", ", all);
    }
}
