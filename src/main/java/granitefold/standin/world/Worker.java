package granitefold.standin.world;

import granitefold.standin.HttpConnection;
import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * A cocinero on a socket. It takes its time by a {@link WorkerModel}, and writes down what it sees. Its result for a job is
 * the body in capitals.
 */
public final class Worker extends LoopbackServer {
    /** What is wrong with it. */
    public enum Behavior {
        NORMAL,
        /** It takes requests and says nothing. */
        HANGING,
        /** It says that jobs start, and nothing more. */
        STALLED,
        /** It answers 500. */
        FAILING,
        /** It resets connections when a job has begun. */
        RESETTING,
        /** It writes half of the last line and closes. */
        TRUNCATING
    }

    private static final int PATIENCE_MS = 120_000, LOOK_MS = 5;
    private static final int FAILED = 500;

    public final String name;
    private final History history;
    private final Function<InetSocketAddress, String> dispatchers;
    private final WorkerSpec spec;
    private final Map<String, DeduplicationWindow> windows;
    /** Guarded by itself. */
    private final WorkerModel model;
    private volatile Behavior behavior = Behavior.NORMAL;
    /** The state that discovery is to tell. */
    private volatile String status = "up";
    final long startedMs;

    /**
     * One that starts now where {@code cold}, else long ago.
     *
     * @param windows by class, where repeats of one are dropped
     * @param dispatchers who connects from an address
     */
    public Worker(String name, WorkerSpec spec, boolean cold, Map<String, DeduplicationWindow> windows, History history,
            Function<InetSocketAddress, String> dispatchers) throws IOException {
        this.name = name;
        this.spec = spec;
        this.windows = windows;
        this.history = history;
        this.dispatchers = dispatchers;
        model = new WorkerModel(spec, cold ? history.now() : Long.MIN_VALUE);
        startedMs = cold ? System.currentTimeMillis() : 0;
    }

    public void behavior(Behavior now) {
        behavior = now;
    }

    public String status() {
        return status;
    }

    public void status(String now) {
        status = now;
    }

    public WorkerSpec spec() {
        return spec;
    }

    /** Jobs that start from now on take so many times as long. */
    public void slowdown(double factor) {
        synchronized (model) {
            model.slowdown(factor);
        }
    }

    /** The process dies: connections are reset, new ones refused. */
    public void kill() throws IOException {
        resetAll();
        close();
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        InetSocketAddress from = (InetSocketAddress) socket.getRemoteSocketAddress();
        HttpConnection e = new HttpConnection(socket, PATIENCE_MS);
        while (e.read()) {
            if (!e.startLine.startsWith("POST ")) {
                e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            } else if (!job(e, new Seen(e, dispatchers.apply(from), from))) {
                return;
            }
        }
    }

    /** One job as it is written down. */
    private final class Seen {
        final String dispatcher;
        final String conn;
        final String txn;
        final String key;
        final String jobClass;
        final String tenant;
        /** How long the dispatcher says that it waits. */
        final long toldMs;

        Seen(HttpConnection e, String dispatcher, InetSocketAddress from) {
            this.dispatcher = dispatcher;
            conn = addressText(from);
            txn = e.headers.get("x-txn");
            key = e.headers.get("idempotency-key");
            String path = e.startLine.split(" ")[1];
            jobClass = path.substring(1, path.indexOf('?') < 0 ? path.length() : path.indexOf('?'));
            tenant = e.headers.get("x-org");
            toldMs = Long.parseLong(e.headers.getOrDefault("x-remaining-ms", "0"));
        }

        void add(What what, String text) {
            history.add(new Entry(history.now(), what, name, dispatcher, txn, key, jobClass, tenant, conn, what == What.BEGUN ? toldMs : 0, text));
        }
    }

    /** A connection as both sides of a relay write it down. */
    public static String addressText(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Serves one; false where the connection is not to be used again. */
    private boolean job(HttpConnection e, Seen seen) throws IOException, InterruptedException {
        if (seen.txn == null) {
            e.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        seen.add(What.BEGUN, null);
        if (behavior == Behavior.HANGING) {
            return !e.closedWithin(PATIENCE_MS);
        }
        if (behavior == Behavior.FAILING) {
            seen.add(What.ENDED, "failed");
            e.write("HTTP/1.1 " + FAILED + " Failed\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        WorkerModel.Ticket ticket;
        synchronized (model) {
            boolean stood = !model.fallen();
            String target = e.startLine.split(" ")[1];
            ticket = model.offer(slots(e), Long.parseLong(e.headers.getOrDefault("x-work", e.headers.getOrDefault("x-estimate", "100000"))),
                    target.contains("sid=") ? target.substring(target.indexOf("sid=")) : null, history.now());
            if (stood && model.fallen()) {
                history.add(What.FELL, name, "sent too much while cold");
            }
        }
        if (fallen()) {
            kill();
            return false;
        }
        if (ticket == null) {
            seen.add(What.ENDED, "turned away");
            e.write("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        DeduplicationWindow window = seen.key == null ? null : windows.get(seen.jobClass);
        boolean ours = false;
        try {
            if (!await(e, ticket, WorkerModel.State.RUNNING)) {
                return false;
            }
            DeduplicationWindow.Found found = window == null ? DeduplicationWindow.Found.NEW : window.begin(seen.key, history.now());
            ours = window != null && found == DeduplicationWindow.Found.NEW;
            seen.add(What.STARTED, found == DeduplicationWindow.Found.NEW ? null : "repeat");
            e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(seen, "\"started\"}"));
            if (behavior == Behavior.STALLED) {
                return !e.closedWithin(PATIENCE_MS);
            }
            if (behavior == Behavior.RESETTING) {
                e.socket.setSoLinger(true, 0);
                return false;
            }
            if (found == DeduplicationWindow.Found.DONE) {
                synchronized (model) {
                    model.cancel(ticket, history.now());
                }
            } else if (!await(e, ticket, WorkerModel.State.DONE)) {
                return false;
            }
            String result = result(e);
            if (found == DeduplicationWindow.Found.DONE && window.result(seen.key) != null) {
                result = window.result(seen.key);
            }
            if (ours) {
                window.done(seen.key, result, history.now());
                ours = false;
            }
            String last = line(seen, "\"done\",\"result\":\"" + result + "\"}");
            seen.add(What.ENDED, "done");
            if (behavior == Behavior.TRUNCATING) {
                e.write(last.substring(0, last.length() / 2));
                return false;
            }
            e.write(last + "0\r\n\r\n");
            return true;
        } finally {
            if (ours) {
                window.lost(seen.key);
            }
            synchronized (model) {
                model.cancel(ticket, history.now());
            }
        }
    }

    private boolean fallen() {
        synchronized (model) {
            return model.fallen();
        }
    }

    private static int slots(HttpConnection e) {
        for (String label : e.headers.getOrDefault("x-labels", "").split(",")) {
            if (label.startsWith("slots=")) {
                return (int) Double.parseDouble(label.substring("slots=".length()));
            }
        }
        return 1;
    }

    private static String result(HttpConnection e) {
        return new String(e.body, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
    }

    private String line(Seen seen, String state) {
        String text = "{\"id\":\"" + seen.txn + "\",\"from\":\"" + name + "\",\"state\":" + state + "\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Waits until a job has come to a state; false if the other side closed before, or the cocinero fell over. */
    private boolean await(HttpConnection e, WorkerModel.Ticket t, WorkerModel.State wanted) throws IOException {
        while (true) {
            long wait = LOOK_MS;
            synchronized (model) {
                model.advance(history.now());
                if (t.state() == WorkerModel.State.GONE) {
                    return false;
                }
                if (t.state().compareTo(wanted) >= 0) {
                    return true;
                }
                if (t.state() == WorkerModel.State.RUNNING) {
                    wait = (t.endsAtUs() - history.now() + 999) / 1000;
                }
            }
            if (wait > 0 && e.closedWithin((int) wait)) {
                return false;
            }
        }
    }
}
