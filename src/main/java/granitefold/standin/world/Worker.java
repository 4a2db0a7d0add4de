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
 * An emulated worker on a socket. A {@link WorkerModel} determines how long its jobs take, and a {@link History} records what
 * it observes. The result of a job is the request body in upper case.
 */
public final class Worker extends LoopbackServer {
    /** How the worker handles requests; all but {@code NORMAL} are faults. */
    public enum Behavior {
        NORMAL,
        /** Reads requests and does not answer. */
        HANGING,
        /** Reports that jobs have started, and nothing more. */
        STALLED,
        /** Answers 500. */
        FAILING,
        /** Resets the connection after a job has started. */
        RESETTING,
        /** Writes half of the last line and closes the connection. */
        TRUNCATING
    }

    private static final int TIMEOUT_MS = 120_000, POLL_MS = 5;
    private static final int FAILED_STATUS = 500;

    public final String name;
    private final History history;
    private final Function<InetSocketAddress, String> dispatchers;
    private final WorkerSpec spec;
    private final Map<String, DeduplicationWindow> windows;
    /** Guarded by its own lock. */
    private final WorkerModel model;
    private volatile Behavior behavior = Behavior.NORMAL;
    /** The status that discovery publishes. */
    private volatile String status = "up";
    final long startedMs;

    /**
     * Creates a worker that starts now where {@code slowStart} is set, otherwise one whose slow start is over.
     *
     * @param windows the deduplication windows of the job classes that have one
     * @param dispatchers maps the address of a connection to the name of its dispatcher
     */
    public Worker(String name, WorkerSpec spec, boolean slowStart, Map<String, DeduplicationWindow> windows, History history,
            Function<InetSocketAddress, String> dispatchers) throws IOException {
        this.name = name;
        this.spec = spec;
        this.windows = windows;
        this.history = history;
        this.dispatchers = dispatchers;
        model = new WorkerModel(spec, slowStart ? history.now() : Long.MIN_VALUE);
        startedMs = slowStart ? System.currentTimeMillis() : 0;
    }

    public void behavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    public String status() {
        return status;
    }

    public void status(String newStatus) {
        status = newStatus;
    }

    public WorkerSpec spec() {
        return spec;
    }

    /** Multiplies the duration of the jobs that start from now on. */
    public void slowdown(double factor) {
        synchronized (model) {
            model.slowdown(factor);
        }
    }

    /** Emulates the death of the process: open connections are reset, new ones refused. */
    public void kill() throws IOException {
        resetAll();
        close();
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        InetSocketAddress from = (InetSocketAddress) socket.getRemoteSocketAddress();
        HttpConnection connection = new HttpConnection(socket, TIMEOUT_MS);
        while (connection.read()) {
            if (!connection.startLine.startsWith("POST ")) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            } else if (!serveJob(connection, new JobRecord(connection, dispatchers.apply(from), from))) {
                return;
            }
        }
    }

    /** The attributes of a job for the history. */
    private final class JobRecord {
        final String dispatcher;
        final String conn;
        final String txn;
        final String key;
        final String jobClass;
        final String tenant;
        /** The remaining time that the dispatcher announced. */
        final long remainingMs;

        JobRecord(HttpConnection connection, String dispatcher, InetSocketAddress from) {
            this.dispatcher = dispatcher;
            conn = addressText(from);
            txn = connection.headers.get("x-txn");
            key = connection.headers.get("idempotency-key");
            String path = connection.startLine.split(" ")[1];
            jobClass = path.substring(1, path.indexOf('?') < 0 ? path.length() : path.indexOf('?'));
            tenant = connection.headers.get("x-org");
            remainingMs = Long.parseLong(connection.headers.getOrDefault("x-remaining-ms", "0"));
        }

        void add(What what, String text) {
            history.add(new Entry(history.now(), what, name, dispatcher, txn, key, jobClass, tenant, conn,
                    what == What.BEGUN ? remainingMs : 0, text));
        }
    }

    /** Formats the address of a connection as both sides of a relay record it. */
    public static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Serves a job; returns false where the connection must not be used again. */
    private boolean serveJob(HttpConnection connection, JobRecord job) throws IOException, InterruptedException {
        if (job.txn == null) {
            connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        job.add(What.BEGUN, null);
        if (behavior == Behavior.HANGING) {
            return !connection.closedWithin(TIMEOUT_MS);
        }
        if (behavior == Behavior.FAILING) {
            job.add(What.ENDED, "failed");
            connection.write("HTTP/1.1 " + FAILED_STATUS + " Failed\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        WorkerModel.Job scheduled;
        synchronized (model) {
            boolean wasUp = !model.crashed();
            String target = connection.startLine.split(" ")[1];
            scheduled = model.offer(slots(connection),
                    Long.parseLong(connection.headers.getOrDefault("x-work", connection.headers.getOrDefault("x-estimate", "100000"))),
                    target.contains("sid=") ? target.substring(target.indexOf("sid=")) : null, history.now());
            if (wasUp && model.crashed()) {
                history.add(What.FELL, name, "sent too much while cold");
            }
        }
        if (crashed()) {
            kill();
            return false;
        }
        if (scheduled == null) {
            job.add(What.ENDED, "turned away");
            connection.write("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        DeduplicationWindow window = job.key == null ? null : windows.get(job.jobClass);
        boolean holdsKey = false;
        try {
            if (!await(connection, scheduled, WorkerModel.State.RUNNING)) {
                return false;
            }
            DeduplicationWindow.KeyState keyState = window == null ? DeduplicationWindow.KeyState.NEW : window.begin(job.key, history.now());
            holdsKey = window != null && keyState == DeduplicationWindow.KeyState.NEW;
            job.add(What.STARTED, keyState == DeduplicationWindow.KeyState.NEW ? null : "repeat");
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(job, "\"started\"}"));
            if (behavior == Behavior.STALLED) {
                return !connection.closedWithin(TIMEOUT_MS);
            }
            if (behavior == Behavior.RESETTING) {
                connection.socket.setSoLinger(true, 0);
                return false;
            }
            if (keyState == DeduplicationWindow.KeyState.DONE) {
                synchronized (model) {
                    model.cancel(scheduled, history.now());
                }
            } else if (!await(connection, scheduled, WorkerModel.State.DONE)) {
                return false;
            }
            String result = result(connection);
            if (keyState == DeduplicationWindow.KeyState.DONE && window.result(job.key) != null) {
                result = window.result(job.key);
            }
            if (holdsKey) {
                window.done(job.key, result, history.now());
                holdsKey = false;
            }
            String lastLine = line(job, "\"done\",\"result\":\"" + result + "\"}");
            job.add(What.ENDED, "done");
            if (behavior == Behavior.TRUNCATING) {
                connection.write(lastLine.substring(0, lastLine.length() / 2));
                return false;
            }
            connection.write(lastLine + "0\r\n\r\n");
            return true;
        } finally {
            if (holdsKey) {
                window.release(job.key);
            }
            synchronized (model) {
                model.cancel(scheduled, history.now());
            }
        }
    }

    private boolean crashed() {
        synchronized (model) {
            return model.crashed();
        }
    }

    private static int slots(HttpConnection connection) {
        for (String label : connection.headers.getOrDefault("x-labels", "").split(",")) {
            if (label.startsWith("slots=")) {
                return (int) Double.parseDouble(label.substring("slots=".length()));
            }
        }
        return 1;
    }

    private static String result(HttpConnection connection) {
        return new String(connection.body, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
    }

    private String line(JobRecord job, String state) {
        String text = "{\"id\":\"" + job.txn + "\",\"from\":\"" + name + "\",\"state\":" + state + "\n";
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Waits until a job has reached a state; returns false where the dispatcher closed the connection first, or the job was dropped. */
    private boolean await(HttpConnection connection, WorkerModel.Job job, WorkerModel.State wanted) throws IOException {
        while (true) {
            long waitMs = POLL_MS;
            synchronized (model) {
                model.advance(history.now());
                if (job.state() == WorkerModel.State.DROPPED) {
                    return false;
                }
                if (job.state().compareTo(wanted) >= 0) {
                    return true;
                }
                if (job.state() == WorkerModel.State.RUNNING) {
                    waitMs = (job.endsAtUs() - history.now() + 999) / 1000;
                }
            }
            if (waitMs > 0 && connection.closedWithin((int) waitMs)) {
                return false;
            }
        }
    }
}
