package granitefold.standin.world;

import granitefold.standin.HttpConnection;
import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * An emulated discovery service: one list of workers, published by one agent per dispatcher. While the service is down the
 * agents receive no updates and send nothing.
 */
public final class Registry {
    private static final int TIMEOUT_MS = 120_000, HEARTBEAT_MS = 2000;
    /** The name under which the history records events of the registry. */
    private static final String DISCOVERY = "discovery";

    private final History history;
    private final List<Worker> workers = new ArrayList<>();
    private final Map<String, String> removed = new LinkedHashMap<>();
    private int version = 1;
    private boolean down;
    /** Number of calls of {@link #silenceOpenWatches}; a watch that was opened before the last of them stays silent. */
    private int silencings;

    public Registry(History history) {
        this.history = history;
    }

    /** Adds a worker to the list. */
    public synchronized void add(Worker worker) {
        workers.add(worker);
        changed(worker, worker.status());
    }

    /** Removes a worker from the list. */
    public synchronized void remove(Worker worker) {
        workers.remove(worker);
        removed.put(worker.name, "removed");
        changed(worker, "removed");
    }

    /** Changes the published status of a worker. */
    public synchronized void updateStatus(Worker worker, String status) {
        worker.status(status);
        changed(worker, status);
    }

    /** Makes the service unreachable for its agents, or reachable again. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
        history.add(What.FAULT, DISCOVERY, isDown ? "down" : "none");
        notifyAll();
    }

    /** Silences all watches that are open now, for good; they stay open. */
    public synchronized void silenceOpenWatches() {
        silencings++;
    }

    private void changed(Worker worker, String status) {
        version++;
        history.add(new Entry(history.now(), What.CHANGED, DISCOVERY, worker.name, null, null, null, null, null, 0, status));
        notifyAll();
    }

    public synchronized List<Worker> workers() {
        return List.copyOf(workers);
    }

    /** Returns the list as JSON for one dispatcher; {@code addresses} maps the name of a worker to its address for that dispatcher. */
    public synchronized String listJson(UnaryOperator<String> addresses) {
        StringBuilder json = new StringBuilder("{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[");
        for (Worker w : workers) {
            json.append(json.charAt(json.length() - 1) == '[' ? "" : ",").append("{\"name\":\"").append(w.name)
                    .append("\",\"address\":\"").append(addresses.apply(w.name)).append("\",\"status\":\"").append(w.status())
                    .append("\",\"weight\":1.0,\"since_ms\":").append(w.startedMs).append(",\"zone\":\"sala\",\"type\":\"m\"}");
        }
        return json + "]}";
    }

    /** The discovery agent of one dispatcher, which publishes the list to watches of that dispatcher. */
    public final class Agent extends LoopbackServer {
        private final String dispatcher;
        private final UnaryOperator<String> addresses;

        public Agent(String dispatcher, UnaryOperator<String> addresses) throws IOException {
            this.dispatcher = dispatcher;
            this.addresses = addresses;
        }

        @Override
        protected void serve(Socket socket) throws IOException, InterruptedException {
            HttpConnection connection = new HttpConnection(socket, TIMEOUT_MS);
            if (!connection.read()) {
                return;
            }
            boolean stream = connection.startLine.contains("stream=1");
            boolean headersSent = false;
            int sentVersion = 0;
            int silencingsAtOpen;
            synchronized (Registry.this) {
                silencingsAtOpen = silencings;
            }
            while (!socket.isClosed()) {
                String text = "\n";
                List<Entry> entries = List.of();
                synchronized (Registry.this) {
                    long heartbeatNs = System.nanoTime() + HEARTBEAT_MS * 1_000_000L;
                    while (down || sentVersion == version && System.nanoTime() < heartbeatNs) {
                        Registry.this.wait(down ? HEARTBEAT_MS : Math.max(1, (heartbeatNs - System.nanoTime()) / 1_000_000));
                    }
                    if (silencingsAtOpen != silencings) {
                        text = null;
                    } else if (sentVersion != version) {
                        sentVersion = version;
                        text = listJson(addresses) + "\n";
                        entries = publishedEntries();
                    }
                }
                if (text == null) {
                    connection.closedWithin(TIMEOUT_MS);
                    return;
                }
                if (!stream) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
                    entries.forEach(history::add);
                    return;
                }
                if (!headersSent) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    headersSent = true;
                }
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                entries.forEach(history::add);
            }
        }

        /** Returns history entries that record which status of each worker the dispatcher has been sent. */
        private List<Entry> publishedEntries() {
            List<Entry> entries = new ArrayList<>();
            workers.forEach(w -> entries.add(entry(w.name, w.status())));
            removed.forEach((name, status) -> entries.add(entry(name, status)));
            return entries;
        }

        private Entry entry(String worker, String status) {
            return new Entry(history.now(), What.TOLD, dispatcher, worker, null, null, null, null, null, 0, status);
        }
    }
}
