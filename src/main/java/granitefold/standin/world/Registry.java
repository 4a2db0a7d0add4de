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
 * Discovery: one list for all, told by an agent on each dispatcher's machine. While it is down the agents say nothing and
 * learn nothing.
 */
public final class Registry {
    private static final int PATIENCE_MS = 120_000, HEARTBEAT_MS = 2000;
    /** Who notes what becomes of it. */
    private static final String DISCOVERY = "discovery";

    private final History history;
    private final List<Worker> workers = new ArrayList<>();
    private final Map<String, String> removed = new LinkedHashMap<>();
    private int version = 1;
    private boolean down;
    /** Watches that were opened before the last of these stay silent for good. */
    private int hushes;

    public Registry(History history) {
        this.history = history;
    }

    /** A cocinero joins the list. */
    public synchronized void add(Worker w) {
        workers.add(w);
        changed(w, w.status());
    }

    /** A cocinero leaves the list. */
    public synchronized void remove(Worker w) {
        workers.remove(w);
        removed.put(w.name, "removed");
        changed(w, "removed");
    }

    /** Its state is another one now. */
    public synchronized void updateStatus(Worker w, String status) {
        w.status(status);
        changed(w, status);
    }

    /** Discovery cannot be reached by its agents, or can again. */
    public synchronized void setDown(boolean now) {
        down = now;
        history.add(What.FAULT, DISCOVERY, now ? "down" : "none");
        notifyAll();
    }

    /** All watches that are open now fall silent, and stay so. */
    public synchronized void silenceOpenWatches() {
        hushes++;
    }

    private void changed(Worker w, String state) {
        version++;
        history.add(new Entry(history.now(), What.CHANGED, DISCOVERY, w.name, null, null, null, null, null, 0, state));
        notifyAll();
    }

    public synchronized List<Worker> workers() {
        return List.copyOf(workers);
    }

    /** The list as one dispatcher sees it; {@code addresses}: where it finds each cocinero. */
    public synchronized String listJson(UnaryOperator<String> addresses) {
        StringBuilder b = new StringBuilder("{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[");
        for (Worker w : workers) {
            b.append(b.charAt(b.length() - 1) == '[' ? "" : ",").append("{\"name\":\"").append(w.name).append("\",\"address\":\"")
                    .append(addresses.apply(w.name)).append("\",\"status\":\"").append(w.status())
                    .append("\",\"weight\":1.0,\"since_ms\":").append(w.startedMs).append(",\"zone\":\"sala\",\"type\":\"m\"}");
        }
        return b + "]}";
    }

    /** The agent of one dispatcher. */
    public final class Agent extends LoopbackServer {
        private final String dispatcher;
        private final UnaryOperator<String> addresses;

        public Agent(String dispatcher, UnaryOperator<String> addresses) throws IOException {
            this.dispatcher = dispatcher;
            this.addresses = addresses;
        }

        @Override
        protected void serve(Socket socket) throws IOException, InterruptedException {
            HttpConnection e = new HttpConnection(socket, PATIENCE_MS);
            if (!e.read()) {
                return;
            }
            boolean stream = e.startLine.contains("stream=1");
            boolean head = false;
            int told = 0;
            int opened;
            synchronized (Registry.this) {
                opened = hushes;
            }
            while (!socket.isClosed()) {
                String text = "\n";
                List<Entry> news = List.of();
                synchronized (Registry.this) {
                    long until = System.nanoTime() + HEARTBEAT_MS * 1_000_000L;
                    while (down || told == version && System.nanoTime() < until) {
                        Registry.this.wait(down ? HEARTBEAT_MS : Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                    if (opened != hushes) {
                        text = null;
                    } else if (told != version) {
                        told = version;
                        text = listJson(addresses) + "\n";
                        news = told();
                    }
                }
                if (text == null) {
                    e.closedWithin(PATIENCE_MS);
                    return;
                }
                if (!stream) {
                    e.write("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
                    news.forEach(history::add);
                    return;
                }
                if (!head) {
                    e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    head = true;
                }
                e.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                news.forEach(history::add);
            }
        }

        private List<Entry> told() {
            List<Entry> all = new ArrayList<>();
            workers.forEach(w -> all.add(entry(w.name, w.status())));
            removed.forEach((w, state) -> all.add(entry(w, state)));
            return all;
        }

        private Entry entry(String worker, String state) {
            return new Entry(history.now(), What.TOLD, dispatcher, worker, null, null, null, null, null, 0, state);
        }
    }
}
