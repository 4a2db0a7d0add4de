package granitefold.net;

import granitefold.wire.Address;
import granitefold.wire.HttpMessages;

/** One health probe of a worker: a GET on a separate connection, which succeeds if the status of the response is 200. */
final class ProbeHttpConnection extends OutboundHttpConnection {
    private static final int MAX_LINE_BYTES = 4096;
    private static final ResponseLimits LIMITS = new ResponseLimits(MAX_LINE_BYTES, ReadTurn.MAX_BYTES, ReadTurn.MAX_BYTES);

    private final OutboundConnections connections;
    private final long worker;
    private final String address;
    private final String path;

    ProbeHttpConnection(OutboundConnections connections, long worker, String address, String path) {
        super(Address.of(address), LIMITS, TurnScheduler.Priority.WORKERS);
        this.connections = connections;
        this.worker = worker;
        this.address = address;
        this.path = path;
    }

    long worker() {
        return worker;
    }

    @Override
    void onConnected() {
        write(HttpMessages.probeRequest(path, address), () -> { });
    }

    @Override
    void onStatus(int status, String turnedAway) {
        connections.probeFinished(this, status == 200, "probe answered with status " + status);
    }

    @Override
    void onLine(byte[] buffer, int from, int length) { }

    @Override
    void onResponseEnd(boolean reusable) { }

    @Override
    void onClosed(String reason) {
        connections.probeFinished(this, false, "probe failed: " + reason);
    }
}
