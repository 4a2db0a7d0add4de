package granitefold.standin.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.standin.edge.Edge.Kind;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Faults on an edge, seen from both ends. Waits are for bytes; what must not come is waited for a moment. */
class RelaysTest {
    private static final int PATIENCE_MS = 10_000, MOMENT_MS = 100;
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();
    private static final Edge EDGE = new Edge(Kind.PEER, "a", "b");

    private Relays relays;
    private ServerSocket server;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        relays = new Relays(1, EdgeListener.NONE);
        server = new ServerSocket(0, 50, HOST);
        address = relays.openTcp(EDGE, () -> (InetSocketAddress) server.getLocalSocketAddress(), HOST);
    }

    @AfterEach
    void close() throws IOException {
        relays.close();
        server.close();
    }

    /** Both ends of a connection through the relay. */
    private record Pair(Socket a, Socket b) {
        void there(int value) throws IOException {
            a.getOutputStream().write(value);
        }

        int read(Socket s, int ms) throws IOException {
            s.setSoTimeout(ms);
            return s.getInputStream().read();
        }
    }

    private Pair pair() throws IOException {
        Socket a = new Socket(address.getAddress(), address.getPort());
        return new Pair(a, server.accept());
    }

    @Test
    void passesBytesAndCloses() throws IOException {
        Pair p = pair();
        p.there(7);
        assertEquals(7, p.read(p.b, PATIENCE_MS));
        p.b.getOutputStream().write(8);
        assertEquals(8, p.read(p.a, PATIENCE_MS));
        p.a.close();
        assertEquals(-1, p.read(p.b, PATIENCE_MS));
    }

    @Test
    void aCutIsSilentAndWhatWasSentComesWhenItHeals() throws IOException {
        Pair p = pair();
        relays.setFault(EDGE, Fault.CUT_FORWARD);
        p.there(1);
        assertThrows(SocketTimeoutException.class, () -> p.read(p.b, MOMENT_MS));
        p.b.getOutputStream().write(2);
        assertEquals(2, p.read(p.a, PATIENCE_MS), "the other way is open");
        relays.setFault(EDGE, Fault.NONE);
        assertEquals(1, p.read(p.b, PATIENCE_MS));
    }

    @Test
    void delaysAreKeptAndNothingOvertakes() throws IOException {
        Pair p = pair();
        relays.setFault(EDGE, Fault.delayed(150, 100));
        long began = System.nanoTime();
        for (int i = 0; i < 20; i++) {
            p.there(i);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(i, p.read(p.b, PATIENCE_MS));
        }
        assertTrue(System.nanoTime() - began >= 150_000_000L);
    }

    @Test
    void aDripIsSlow() throws IOException {
        Pair p = pair();
        relays.setFault(EDGE, Fault.throttled(200));
        long began = System.nanoTime();
        p.a.getOutputStream().write(new byte[100]);
        for (int i = 0; i < 100; i++) {
            p.read(p.b, PATIENCE_MS);
        }
        assertTrue(System.nanoTime() - began >= 300_000_000L, "half a second's worth, less the first piece");
    }

    @Test
    void resetsAndRefuses() throws IOException {
        Pair p = pair();
        p.there(1);
        p.read(p.b, PATIENCE_MS);
        assertEquals(1, relays.reset(EDGE));
        assertThrows(IOException.class, () -> p.read(p.a, PATIENCE_MS));
        relays.setFault(EDGE, Fault.REFUSING);
        try (Socket refused = new Socket(address.getAddress(), address.getPort())) {
            refused.setSoTimeout(PATIENCE_MS);
            assertThrows(IOException.class, () -> {
                if (refused.getInputStream().read() < 0) {
                    throw new IOException("closed");
                }
            });
        }
    }

    @Test
    void datagramsAreLostDoubledAndComeFromWhereTheyShould() throws IOException {
        try (DatagramSocket a = new DatagramSocket(0, HOST); DatagramSocket b = new DatagramSocket(0, HOST)) {
            Edge there = new Edge(Kind.SIBLING, "a", "b");
            Edge back = new Edge(Kind.SIBLING, "b", "a");
            var ends = relays.openUdp(there, (InetSocketAddress) a.getLocalSocketAddress(), back, (InetSocketAddress) b.getLocalSocketAddress());
            b.setSoTimeout(PATIENCE_MS);
            send(a, ends.get(0), 1);
            assertEquals(ends.get(1), receive(b).getSocketAddress(), "from the address that b knows a by");
            relays.setFault(there, Fault.lossy(0, 1, 0));
            send(a, ends.get(0), 2);
            assertEquals(2, receive(b).getData()[0]);
            assertEquals(2, receive(b).getData()[0]);
            relays.setFault(there, Fault.lossy(1, 0, 0));
            send(a, ends.get(0), 3);
            b.setSoTimeout(MOMENT_MS);
            assertThrows(SocketTimeoutException.class, () -> receive(b));
            a.setSoTimeout(PATIENCE_MS);
            send(b, ends.get(1), 4);
            assertEquals(ends.get(0), receive(a).getSocketAddress());
        }
    }

    private static void send(DatagramSocket from, InetSocketAddress to, int value) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) value}, 1, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket p = new DatagramPacket(new byte[16], 16);
        at.receive(p);
        return p;
    }
}
