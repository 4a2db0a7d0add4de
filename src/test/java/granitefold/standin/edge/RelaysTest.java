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

/** Checks faults on an edge from both ends. For bytes that must not arrive the tests wait {@code SILENCE_MS}. */
class RelaysTest {
    private static final int TIMEOUT_MS = 10_000, SILENCE_MS = 100;
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
        void send(int value) throws IOException {
            a.getOutputStream().write(value);
        }

        int read(Socket s, int ms) throws IOException {
            s.setSoTimeout(ms);
            return s.getInputStream().read();
        }
    }

    private Pair connect() throws IOException {
        Socket a = new Socket(address.getAddress(), address.getPort());
        return new Pair(a, server.accept());
    }

    @Test
    void passesBytesAndCloses() throws IOException {
        Pair connection = connect();
        connection.send(7);
        assertEquals(7, connection.read(connection.b, TIMEOUT_MS));
        connection.b.getOutputStream().write(8);
        assertEquals(8, connection.read(connection.a, TIMEOUT_MS));
        connection.a.close();
        assertEquals(-1, connection.read(connection.b, TIMEOUT_MS));
    }

    @Test
    void bytesSentDuringACutArriveWhenItEnds() throws IOException {
        Pair connection = connect();
        relays.setFault(EDGE, Fault.CUT_FORWARD);
        connection.send(1);
        assertThrows(SocketTimeoutException.class, () -> connection.read(connection.b, SILENCE_MS));
        connection.b.getOutputStream().write(2);
        assertEquals(2, connection.read(connection.a, TIMEOUT_MS), "the other direction stays open");
        relays.setFault(EDGE, Fault.NONE);
        assertEquals(1, connection.read(connection.b, TIMEOUT_MS));
    }

    @Test
    void delaysBytesAndKeepsTheirOrder() throws IOException {
        Pair connection = connect();
        relays.setFault(EDGE, Fault.delayed(150, 100));
        long startedNs = System.nanoTime();
        for (int i = 0; i < 20; i++) {
            connection.send(i);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(i, connection.read(connection.b, TIMEOUT_MS));
        }
        assertTrue(System.nanoTime() - startedNs >= 150_000_000L);
    }

    @Test
    void limitsThroughput() throws IOException {
        Pair connection = connect();
        relays.setFault(EDGE, Fault.throttled(200));
        long startedNs = System.nanoTime();
        connection.a.getOutputStream().write(new byte[100]);
        for (int i = 0; i < 100; i++) {
            connection.read(connection.b, TIMEOUT_MS);
        }
        assertTrue(System.nanoTime() - startedNs >= 300_000_000L, "100 bytes at 200 bytes/s take 500 ms, less the first chunk");
    }

    @Test
    void resetsOpenConnectionsAndRefusesNewOnes() throws IOException {
        Pair connection = connect();
        connection.send(1);
        connection.read(connection.b, TIMEOUT_MS);
        assertEquals(1, relays.reset(EDGE));
        assertThrows(IOException.class, () -> connection.read(connection.a, TIMEOUT_MS));
        relays.setFault(EDGE, Fault.REFUSING);
        try (Socket refused = new Socket(address.getAddress(), address.getPort())) {
            refused.setSoTimeout(TIMEOUT_MS);
            assertThrows(IOException.class, () -> {
                if (refused.getInputStream().read() < 0) {
                    throw new IOException("closed");
                }
            });
        }
    }

    @Test
    void datagramsAreDroppedAndDuplicatedAndKeepTheirSourceAddress() throws IOException {
        try (DatagramSocket a = new DatagramSocket(0, HOST); DatagramSocket b = new DatagramSocket(0, HOST)) {
            Edge forward = new Edge(Kind.SIBLING, "a", "b");
            Edge backward = new Edge(Kind.SIBLING, "b", "a");
            var ends = relays.openUdp(forward, (InetSocketAddress) a.getLocalSocketAddress(),
                    backward, (InetSocketAddress) b.getLocalSocketAddress());
            b.setSoTimeout(TIMEOUT_MS);
            send(a, ends.get(0), 1);
            assertEquals(ends.get(1), receive(b).getSocketAddress(), "b receives from the address that stands for a");
            relays.setFault(forward, Fault.lossy(0, 1, 0));
            send(a, ends.get(0), 2);
            assertEquals(2, receive(b).getData()[0]);
            assertEquals(2, receive(b).getData()[0]);
            relays.setFault(forward, Fault.lossy(1, 0, 0));
            send(a, ends.get(0), 3);
            b.setSoTimeout(SILENCE_MS);
            assertThrows(SocketTimeoutException.class, () -> receive(b));
            a.setSoTimeout(TIMEOUT_MS);
            send(b, ends.get(1), 4);
            assertEquals(ends.get(0), receive(a).getSocketAddress());
        }
    }

    private static void send(DatagramSocket from, InetSocketAddress to, int value) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) value}, 1, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[16], 16);
        at.receive(packet);
        return packet;
    }
}
