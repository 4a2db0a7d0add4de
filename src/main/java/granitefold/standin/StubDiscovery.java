package granitefold.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** A stand-in discovery: the whole list to each watch, then a sign of life every two seconds, unless it is silent. */
public final class StubDiscovery extends LoopbackServer {
    private static final int PATIENCE_MS = 60_000, HEARTBEAT_MS = 2000, LOOK_MS = 20;

    private final List<StubWorker> peers;
    private volatile boolean silent;
    private volatile int version = 1;
    private volatile int padding;

    public StubDiscovery(List<StubWorker> peers) throws IOException {
        this.peers = List.copyOf(peers);
    }

    /** Says nothing from now on, or speaks again. */
    public void silent(boolean on) {
        silent = on;
    }

    /** Tells of so many more peers, all draining, in one list after the other without a pause; 0: no more. */
    public void flood(int peersBeside) {
        padding = peersBeside;
        version++;
    }

    /** The peers' states have changed. */
    public void changed() {
        version++;
    }

    /** The list as it is now; {@code address}: null for the peers' own, else one that stands for all of them. */
    public String listJson(String address) {
        return "{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[" + peers.stream().map(p -> "{\"name\":\"" + p.name
                + "\",\"address\":\"" + (address == null ? p.address() : address) + "\",\"status\":\"" + p.status
                + "\",\"weight\":1.0,\"since_ms\":0,\"zone\":\"sala\",\"type\":\"m\"}").collect(Collectors.joining(",")) + "]}";
    }

    private String padded(String list) {
        StringBuilder b = new StringBuilder(list.substring(0, list.length() - 2));
        for (int i = 0; i < padding; i++) {
            b.append(",{\"name\":\"x-").append(i).append("\",\"address\":\"127.0.0.1:1\",\"status\":\"draining\",\"weight\":1.0,"
                    + "\"since_ms\":0,\"zone\":\"sala\",\"type\":\"m\"}");
        }
        return b + "]}";
    }

    @Override
    protected void serve(Socket socket) throws IOException, InterruptedException {
        HttpConnection e = new HttpConnection(socket, PATIENCE_MS);
        e.read();
        boolean head = false;
        int told = 0;
        long saidAt = 0;
        while (true) {
            if (!silent) {
                if (!head) {
                    e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    head = true;
                }
                if (told != version || padding > 0) {
                    told = version;
                    e.write(StubWorker.chunk(padded(listJson(null)) + "\n"));
                    saidAt = System.nanoTime();
                } else if (System.nanoTime() - saidAt > HEARTBEAT_MS * 1_000_000L) {
                    e.write(StubWorker.chunk("\n"));
                    saidAt = System.nanoTime();
                }
            }
            if (padding == 0) {
                Thread.sleep(LOOK_MS);
            }
        }
    }
}
