package granitefold.standin.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * Relays one TCP connection. Each side is read as soon as it sends, so that its close is seen when it happens; the bytes are
 * held back for as long as the fault of the edge requires.
 */
final class TcpRelay {
    /** A side is not read while this many of its bytes are buffered. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final int CHUNK_BYTES = 16 * 1024;

    private record Chunk(long dueNs, ByteBuffer bytes) { }

    /** One direction of the connection: reads one side and writes the other. */
    private final class Direction implements Relays.ChannelHandler {
        /** From the opener to the other side. */
        final boolean forward;
        final SocketChannel in;
        final SocketChannel out;
        final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
        int bufferedBytes;
        boolean inputEnded;
        boolean outputShut;
        /** When the next bytes may be written under a throughput limit. */
        long nextThrottledNs;
        long lastDueNs;
        private Direction opposite;
        private SelectionKey key;

        Direction(boolean forward, SocketChannel in, SocketChannel out) {
            this.forward = forward;
            this.in = in;
            this.out = out;
        }

        private void register() throws IOException {
            key = in.register(relays.selector(), 0, this);
            updateInterest();
        }

        /** Selects this channel for reading, for the end of the connect, or for writing the bytes of the opposite direction. */
        private void updateInterest() {
            if (key == null || !key.isValid()) {
                return;
            }
            int ops = !inputEnded && bufferedBytes < MAX_BUFFERED_BYTES && connected ? SelectionKey.OP_READ : 0;
            if (!forward && !connected) {
                ops = SelectionKey.OP_CONNECT;
            }
            if (opposite.blocked) {
                ops |= SelectionKey.OP_WRITE;
            }
            key.interestOps(ops);
        }

        /** The send buffer of the other side is full. */
        private boolean blocked;

        @Override
        public void ready(SelectionKey k) throws IOException {
            if (k.isConnectable()) {
                in.finishConnect();
                onConnected();
            }
            if (k.isValid() && k.isWritable()) {
                opposite.blocked = false;
                opposite.flush();
            }
            if (k.isValid() && k.isReadable()) {
                read();
            }
        }

        private void read() throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(CHUNK_BYTES);
            int count = in.read(bytes);
            long now = System.nanoTime();
            if (count < 0) {
                inputEnded = true;
                if (forward) {
                    relays.listener.closed(edge, connection, now);
                }
            } else if (count > 0) {
                bytes.flip();
                bufferedBytes += count;
                // jitter must not reorder the bytes of one direction
                lastDueNs = Math.max(lastDueNs, now + relays.latencyNs(relays.fault(edge)));
                chunks.add(new Chunk(lastDueNs, bytes));
                if (forward) {
                    relays.listener.sent(edge, connection, relays.earliestArrivalNs(), now);
                }
            }
            flush();
        }

        void flush() {
            if (closed) {
                return;
            }
            try {
                Fault fault = relays.fault(edge);
                while (connected && !chunks.isEmpty() && !blocked && !fault.cut(forward)) {
                    long now = System.nanoTime();
                    Chunk chunk = chunks.peek();
                    long dueNs = Math.max(chunk.dueNs, fault.dripBytesPerS() > 0 ? nextThrottledNs : 0);
                    if (dueNs > now) {
                        relays.schedule(dueNs, this::flush);
                        break;
                    }
                    int written = write(chunk.bytes, fault.dripBytesPerS(), now);
                    bufferedBytes -= written;
                    if (forward && written > 0) {
                        relays.listener.forwarded(edge, opener, now);
                    }
                    if (!chunk.bytes.hasRemaining()) {
                        chunks.remove();
                    } else if (fault.dripBytesPerS() == 0) {
                        blocked = true;
                    }
                }
                if (connected && inputEnded && chunks.isEmpty() && !outputShut && !fault.cut(forward)) {
                    outputShut = true;
                    out.shutdownOutput();
                    if (forward) {
                        relays.listener.closeForwarded(edge, opener, System.nanoTime());
                    }
                    if (opposite.outputShut) {
                        close();
                    }
                }
                updateInterest();
                opposite.updateInterest();
            } catch (IOException e) {
                failed();
            }
        }

        private int write(ByteBuffer bytes, long limitBytesPerS, long now) throws IOException {
            if (limitBytesPerS == 0) {
                return out.write(bytes);
            }
            // the bytes of 100 ms at a time, at least one
            int maxBytes = (int) Math.max(1, limitBytesPerS / 10);
            ByteBuffer part = bytes.slice(bytes.position(), Math.min(maxBytes, bytes.remaining()));
            int written = out.write(part);
            bytes.position(bytes.position() + written);
            nextThrottledNs = now + Math.max(1, written) * 1_000_000_000L / limitBytesPerS;
            return written;
        }

        @Override
        public void failed() {
            TcpRelay.this.failed();
        }
    }

    final Edge edge;
    private final Relays relays;
    private final Direction forward;
    private final Direction backward;
    /** Address of the opener's own end. */
    private final InetSocketAddress opener;
    /** Address of the connection as the other side sees it; null until it is known. */
    private InetSocketAddress connection;
    private boolean connected;
    private boolean closed;

    TcpRelay(Relays relays, Edge edge, SocketChannel client, InetSocketAddress target, InetAddress sourceAddress) throws IOException {
        this.relays = relays;
        this.edge = edge;
        opener = (InetSocketAddress) client.getRemoteAddress();
        client.configureBlocking(false);
        client.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SocketChannel server = SocketChannel.open();
        server.configureBlocking(false);
        server.setOption(StandardSocketOptions.TCP_NODELAY, true);
        forward = new Direction(true, client, server);
        backward = new Direction(false, server, client);
        forward.opposite = backward;
        backward.opposite = forward;
        try {
            server.bind(new InetSocketAddress(sourceAddress, 0));
            connection = (InetSocketAddress) server.getLocalAddress();
            forward.register();
            boolean atOnce = target != null && server.connect(target);
            backward.register();
            if (target == null) {
                failed();
            } else if (atOnce) {
                onConnected();
            }
        } catch (IOException e) {
            failed();
        }
    }

    private void onConnected() {
        connected = true;
        forward.updateInterest();
        backward.updateInterest();
        forward.flush();
    }

    void flush() {
        forward.flush();
        backward.flush();
    }

    private void close() {
        if (!closed) {
            closed = true;
            relays.remove(this);
            for (SocketChannel c : new SocketChannel[] {forward.in, backward.in}) {
                try {
                    c.close();
                } catch (IOException e) {
                    // the connection is closed either way
                }
            }
        }
    }

    /** Resets both sides after one has failed, or to inject a reset. */
    void failed() {
        if (!closed) {
            relays.listener.closed(edge, connection, System.nanoTime());
            reset(forward.in);
            reset(backward.in);
            relays.listener.closeForwarded(edge, opener, System.nanoTime());
            close();
        }
    }

    static void reset(SocketChannel c) {
        try {
            c.setOption(StandardSocketOptions.SO_LINGER, 0);
            c.close();
        } catch (IOException e) {
            // the connection is closed either way
        }
    }
}
