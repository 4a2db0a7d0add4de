package granitefold.standin.edge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;

/** One way of datagrams: what comes in on one channel goes out on another. */
final class UdpRelay implements Relays.Ready {
    private static final int LONGEST = 2048;
    private static final long HELD_NS = 20_000_000;

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
        ByteBuffer b = ByteBuffer.allocate(LONGEST);
        while (in.receive(b) != null) {
            b.flip();
            Fault f = relays.fault(edge);
            if (!f.thereCut() && !relays.chance(f.loss())) {
                send(b.duplicate(), f);
                if (relays.chance(f.doubled())) {
                    send(b, f);
                }
            }
            b = ByteBuffer.allocate(LONGEST);
        }
    }

    private void send(ByteBuffer b, Fault f) {
        long way = relays.wayNs(f);
        if (relays.chance(f.overtaken())) {
            way = 2 * way + HELD_NS;
        }
        if (way == 0) {
            pass(b);
        } else {
            relays.at(System.nanoTime() + way, () -> pass(b));
        }
    }

    private void pass(ByteBuffer b) {
        try {
            out.send(b, to);
        } catch (IOException e) {
            // a datagram may be lost at any time
        }
    }

    @Override
    public void broken() { }
}
