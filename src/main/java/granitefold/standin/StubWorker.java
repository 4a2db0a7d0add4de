package granitefold.standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A test double of a worker: a job holds one slot for the time of its {@code X-Estimate} (microseconds; 100 ms without it)
 * and returns its body in upper case. The worker counts how often each id was started.
 */
public final class StubWorker extends LoopbackServer {
    private static final int TIMEOUT_MS = 60_000;
    private static final String DEFAULT_ESTIMATE_US = "100000";

    /** How the worker handles connections and jobs. */
    public enum Behavior { NORMAL, HANGING, FAILING }

    public final String name;
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    volatile String status = "up";
    private final Semaphore slots;
    private volatile Behavior behavior = Behavior.NORMAL;
    private volatile double slowdown = 1;
    /** Cached keys, the least recently used first. */
    private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private volatile int maxCachedKeys;
    private volatile long fetchUs;

    public StubWorker(String name, int slots) throws IOException {
        this.name = name;
        this.slots = new Semaphore(slots, true);
    }

    public void behavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    /** Multiplies the duration of jobs. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** Caches the data of this many keys ({@code sid}); a job with another key holds its slot for a fetch before it runs. */
    public void cacheKeys(int maxKeys, long fetchTimeUs) {
        maxCachedKeys = maxKeys;
        fetchUs = fetchTimeUs;
    }

    /** Returns the time that a job needs to fetch the data of its key: 0 where it is cached. */
    private long fetchTimeUs(String target) {
        int keyStart = target.indexOf("sid=");
        if (maxCachedKeys == 0 || keyStart < 0) {
            return 0;
        }
        synchronized (cache) {
            boolean cached = cache.put(target.substring(keyStart), true) != null;
            if (cache.size() > maxCachedKeys) {
                cache.remove(cache.keySet().iterator().next());
            }
            return cached ? 0 : fetchUs;
        }
    }

    /** Returns the number of ids that were started more than once. */
    public long jobsRepeated() {
        return starts.values().stream().filter(n -> n > 1).count();
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        HttpConnection connection = new HttpConnection(socket, TIMEOUT_MS);
        while (connection.read()) {
            if (behavior == Behavior.HANGING) {
                Thread.sleep(TIMEOUT_MS);
            }
            if (behavior == Behavior.FAILING) {
                return;
            }
            if (connection.startLine.startsWith("GET ")) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            serveJob(connection);
        }
    }

    private void serveJob(HttpConnection connection) throws IOException, InterruptedException {
        String jsonStart = "{\"id\":\"" + connection.headers.get("x-txn") + "\",\"from\":\"" + name + "\",\"state\":";
        slots.acquire();
        try {
            starts.merge(connection.headers.get("x-txn"), 1, Integer::sum);
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(jsonStart + "\"started\"}\n"));
            long durationUs = (long) (Long.parseLong(connection.headers.getOrDefault("x-estimate", DEFAULT_ESTIMATE_US)) * slowdown)
                    + fetchTimeUs(connection.startLine.split(" ")[1]);
            Thread.sleep(durationUs / 1000, (int) (durationUs % 1000) * 1000);
        } finally {
            slots.release();
        }
        String result = new String(connection.body, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT).replace("\\", "\\\\")
                .replace("\"", "\\\"");
        connection.write(chunk(jsonStart + "\"done\",\"result\":\"" + result + "\"}\n") + "0\r\n\r\n");
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
