package granitefold.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** A test double of discovery: sends the whole list to each watch, then a heartbeat every two seconds, unless it is silent. */
public final class StubDiscovery extends LoopbackServer {
    private static final int TIMEOUT_MS = 60_000, HEARTBEAT_MS = 2000, POLL_MS = 20;

    private final List<StubWorker> workers;
    private volatile boolean silent;
    private volatile int version = 1;
    private volatile int extraEndpoints;

    public StubDiscovery(List<StubWorker> workers) throws IOException {
        this.workers = List.copyOf(workers);
    }

    /** Stops sending to the watches, or resumes it. */
    public void silent(boolean on) {
        silent = on;
    }

    /** Sends lists without a pause, each with this many additional draining workers; 0 ends it. */
    public void flood(int extraWorkers) {
        extraEndpoints = extraWorkers;
        version++;
    }

    /** Sends the list again, after the status of a worker has changed. */
    public void changed() {
        version++;
    }

    /** Returns the current list as JSON; {@code address} replaces the address of every worker, null keeps their own. */
    public String listJson(String address) {
        return "{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[" + workers.stream().map(p -> "{\"name\":\"" + p.name
                + "\",\"address\":\"" + (address == null ? p.address() : address) + "\",\"status\":\"" + p.status
                + "\",\"weight\":1.0,\"since_ms\":0,\"zone\":\"sala\",\"type\":\"m\"}").collect(Collectors.joining(",")) + "]}";
    }

    private String withExtraEndpoints(String list) {
        StringBuilder json = new StringBuilder(list.substring(0, list.length() - 2));
        for (int i = 0; i < extraEndpoints; i++) {
            json.append(",{\"name\":\"x-").append(i).append("\",\"address\":\"127.0.0.1:1\",\"status\":\"draining\",\"weight\":1.0,"
                    + "\"since_ms\":0,\"zone\":\"sala\",\"type\":\"m\"}");
        }
        return json + "]}";
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        HttpConnection connection = new HttpConnection(socket, TIMEOUT_MS);
        connection.read();
        boolean headersSent = false;
        int sentVersion = 0;
        long lastWriteNs = 0;
        while (true) {
            if (!silent) {
                if (!headersSent) {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    headersSent = true;
                }
                if (sentVersion != version || extraEndpoints > 0) {
                    sentVersion = version;
                    connection.write(StubWorker.chunk(withExtraEndpoints(listJson(null)) + "\n"));
                    lastWriteNs = System.nanoTime();
                } else if (System.nanoTime() - lastWriteNs > HEARTBEAT_MS * 1_000_000L) {
                    connection.write(StubWorker.chunk("\n"));
                    lastWriteNs = System.nanoTime();
                }
            }
            if (extraEndpoints == 0) {
                Thread.sleep(POLL_MS);
            }
        }
    }
}
