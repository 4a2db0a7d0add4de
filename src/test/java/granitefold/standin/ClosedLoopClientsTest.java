package granitefold.standin;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ClosedLoopClientsTest {
    private static final int WORK_US = 1_000;

    /** Its request was missing from all counts, and nobody was told why. */
    @Test
    void aClientThatEndsByItselfIsTold() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            LoopbackServer.startDaemon(() -> answerNonsense(server), "server");
            try (ClosedLoopClients clients = new ClosedLoopClients("k", (InetSocketAddress) server.getLocalSocketAddress(), 1, WORK_US, true)) {
                while (clients.requests() == 0) {
                    Thread.onSpinWait();
                }
                assertThrows(IllegalStateException.class, clients::stop);
            }
        }
    }

    private static void answerNonsense(ServerSocket server) {
        try (Socket client = server.accept()) {
            client.getOutputStream().write("HTTP/1.1 nonsense\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
