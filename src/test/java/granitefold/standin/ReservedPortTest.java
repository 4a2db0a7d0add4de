package granitefold.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import granitefold.net.SocketOpener;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import org.junit.jupiter.api.Test;

/**
 * Guards against test beds that take each other's ports: a port that was only tried out and released was in use by another
 * test bed when the dispatcher started, which ended with "Address already in use".
 */
class ReservedPortTest {
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();
    private static final int BACKLOG = 5;

    @Test
    void aDispatcherListensOnAReservedPort() throws Exception {
        assertListens(false);
    }

    @Test
    void aDispatcherThatSharesItsAddressListensOnAReservedPort() throws Exception {
        assertListens(true);
    }

    private static void assertListens(boolean shared) throws Exception {
        try (ReservedPort reserved = new ReservedPort(HOST);
                ServerSocketChannel listener = SocketOpener.openTcpListener(reserved.address(), BACKLOG, shared);
                Socket client = new Socket(HOST, reserved.port())) {
            assertEquals(client.getPort(), reserved.port());
            assertEquals(listener.getLocalAddress(), reserved.address());
        }
    }

    @Test
    void aReservedPortIsTakenByNobodyElse() throws Exception {
        try (ReservedPort reserved = new ReservedPort(HOST); Socket other = new Socket()) {
            other.setReuseAddress(false);
            assertThrows(BindException.class, () -> other.bind(reserved.address()));
        }
    }

    @Test
    void connectionsToAReservedPortAreRefusedUntilSomebodyListens() throws Exception {
        try (ReservedPort reserved = new ReservedPort(HOST); Socket client = new Socket()) {
            assertThrows(ConnectException.class, () -> client.connect(new InetSocketAddress(HOST, reserved.port())));
        }
    }

    @Test
    void aClosedReservationReleasesThePort() throws Exception {
        ReservedPort reserved = new ReservedPort(HOST);
        InetSocketAddress address = reserved.address();
        reserved.close();
        try (Socket other = new Socket()) {
            other.setReuseAddress(false);
            other.bind(address);
            assertEquals(other.getLocalPort(), address.getPort());
        }
    }
}
