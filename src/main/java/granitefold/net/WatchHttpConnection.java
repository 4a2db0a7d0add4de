package granitefold.net;

import granitefold.core.Event;
import granitefold.wire.Address;
import granitefold.wire.HttpMessages;
import granitefold.wire.InvalidInputException;
import granitefold.wire.JsonObjectFramer;
import granitefold.wire.WorkerListJson;
import java.net.InetSocketAddress;

/** The watch on discovery: one long response that carries the updates of the worker list. */
final class WatchHttpConnection extends OutboundHttpConnection {
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;
    /** The longest line takes no more turns than {@link SelectorThread#MAX_INPUT_ROUNDS}. */
    private static final int MAX_TURN_BYTES = MAX_LINE_BYTES / SelectorThread.MAX_INPUT_ROUNDS;
    private static final ResponseLimits LIMITS = new ResponseLimits(MAX_LINE_BYTES, MAX_TURN_BYTES, ResponseLimits.UNLIMITED);

    private final EventLoop loop;
    private final OutboundConnections connections;
    private final InetSocketAddress discovery;
    private final long version;
    private final JsonObjectFramer frames = new JsonObjectFramer(MAX_LINE_BYTES);
    /** What is accounted for the object that is being received. */
    private int objectBytes;

    WatchHttpConnection(EventLoop loop, OutboundConnections connections, InetSocketAddress discovery, long version) {
        super(discovery, LIMITS, TurnScheduler.Priority.DISCOVERY);
        this.loop = loop;
        this.connections = connections;
        this.discovery = discovery;
        this.version = version;
    }

    @Override
    void onConnected() {
        write(HttpMessages.discoveryWatch(Address.text(discovery), version), () -> { });
    }

    @Override
    void onStatus(int status, String turnedAway) {
        if (status != 200) {
            fail("status " + status);
        }
    }

    @Override
    void onLine(byte[] buffer, int from, int length) {
        if (!connections.isCurrent(this)) {
            return;
        }
        try {
            JsonObjectFramer.Result result = frames.add(buffer, from, length);
            // an object may be indented, and span many lines
            holdObject(frames.heldBytes());
            if (result != JsonObjectFramer.Result.INCOMPLETE) {
                loop.post(new Event.WatchUpdated(result == JsonObjectFramer.Result.BLANK ? null
                        : WorkerListJson.decode(frames.buffer(), frames.offset(), frames.length(), loop.vocabulary())));
            }
        } catch (InvalidInputException e) {
            fail(e.getMessage());
        }
    }

    private void holdObject(int bytes) {
        loop.heldMemory().hold(HeldMemory.Use.WORKER_LIST, bytes - objectBytes);
        objectBytes = bytes;
    }

    @Override
    void onClosing() {
        holdObject(0);
    }

    @Override
    boolean reserveForLine(int bytes) {
        return loop.heldMemory().reserve(HeldMemory.Use.WORKER_LIST, bytes);
    }

    @Override
    void onResponseEnd(boolean reusable) {
        fail("response ended");
    }

    @Override
    void onClosed(String reason) {
        connections.closed(this, reason);
    }
}
