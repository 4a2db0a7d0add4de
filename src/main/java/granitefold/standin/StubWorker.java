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
 * A stand-in cocinero: a job holds one slot for as long as its {@code X-Estimate} tells (microseconds, else 100 ms)
 * and gives back its body in capitals. It counts how often each id was started.
 */
public final class StubWorker extends LoopbackServer {
    private static final int PATIENCE_MS = 60_000;
    private static final String UNTOLD = "100000";

    /** What it does with connections and jobs. */
    public enum Behavior { NORMAL, HANGING, FAILING }

    public final String name;
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    volatile String status = "up";
    private final Semaphore slots;
    private volatile Behavior behavior = Behavior.NORMAL;
    private volatile double slowdown = 1;
    /** Keys that it keeps, the last one used last, and what a fetch takes. */
    private final Map<String, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true);
    private volatile int keepMost;
    private volatile long fetchUs;

    public StubWorker(String name, int slots) throws IOException {
        this.name = name;
        this.slots = new Semaphore(slots, true);
    }

    public void behavior(Behavior now) {
        behavior = now;
    }

    /** Jobs take so many times as long. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** Keeps so many keys ({@code sid}); a job of another one holds its slot for a fetch before it runs. */
    public void keeps(int most, long fetchTimeUs) {
        keepMost = most;
        fetchUs = fetchTimeUs;
    }

    private long fetch(String target) {
        int at = target.indexOf("sid=");
        if (keepMost == 0 || at < 0) {
            return 0;
        }
        synchronized (kept) {
            boolean here = kept.put(target.substring(at), true) != null;
            if (kept.size() > keepMost) {
                kept.remove(kept.keySet().iterator().next());
            }
            return here ? 0 : fetchUs;
        }
    }

    /** Ids that were started more than once. */
    public long repeated() {
        return starts.values().stream().filter(n -> n > 1).count();
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        HttpConnection e = new HttpConnection(socket, PATIENCE_MS);
        while (e.read()) {
            if (behavior == Behavior.HANGING) {
                Thread.sleep(PATIENCE_MS);
            }
            if (behavior == Behavior.FAILING) {
                return;
            }
            if (e.startLine.startsWith("GET ")) {
                e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            job(e);
        }
    }

    private void job(HttpConnection e) throws IOException, InterruptedException {
        String about = "{\"id\":\"" + e.headers.get("x-txn") + "\",\"from\":\"" + name + "\",\"state\":";
        slots.acquire();
        try {
            starts.merge(e.headers.get("x-txn"), 1, Integer::sum);
            e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(about + "\"started\"}\n"));
            long us = (long) (Long.parseLong(e.headers.getOrDefault("x-estimate", UNTOLD)) * slowdown) + fetch(e.startLine.split(" ")[1]);
            Thread.sleep(us / 1000, (int) (us % 1000) * 1000);
        } finally {
            slots.release();
        }
        String result = new String(e.body, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT).replace("\\", "\\\\")
                .replace("\"", "\\\"");
        e.write(chunk(about + "\"done\",\"result\":\"" + result + "\"}\n") + "0\r\n\r\n");
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
