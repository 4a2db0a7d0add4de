package granitefold.standin.edge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;

/** Relays datagrams in one direction: what is received on one channel is sent on another. */
final class UdpRelay implements Relays.ChannelHandler {
    private static final int MAX_DATAGRAM_BYTES = 2048;
    private static final long REORDER_HOLD_NS = 20_000_000;

    private final Relays relays;
    private final Edge edge;
    private final DatagramChannel in;
    private final DatagramChannel out;
    private final InetSocketAddress to;

    UdpRelay(Relays relays, Edge edge, DatagramChannel in, DatagramChannel out, InetSocketAddress to) {
        this.relays = relays;
        this.edge = edge;
        this.in = in;
        this.out = out;
        this.to = to;
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        ByteBuffer datagram = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        while (in.receive(datagram) != null) {
            datagram.flip();
            Fault fault = relays.fault(edge);
            if (!fault.thereCut() && !relays.chance(fault.loss())) {
                send(datagram.duplicate(), fault);
                if (relays.chance(fault.doubled())) {
                    send(datagram, fault);
                }
            }
            datagram = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        }
    }

    private void send(ByteBuffer datagram, Fault fault) {
        long latencyNs = relays.latencyNs(fault);
        if (relays.chance(fault.overtaken())) {
            latencyNs = 2 * latencyNs + REORDER_HOLD_NS;
        }
        if (latencyNs == 0) {
            forward(datagram);
        } else {
            relays.schedule(System.nanoTime() + latencyNs, () -> forward(datagram));
        }
    }

    private void forward(ByteBuffer datagram) {
        try {
            out.send(datagram, to);
        } catch (IOException e) {
            // a datagram may be lost at any time
        }
    }

    @Override
    public void failed() { }
}
