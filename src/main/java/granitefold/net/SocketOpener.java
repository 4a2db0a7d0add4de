package granitefold.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/** Opens what a start cannot do without, though {@code socket} may fail for a moment (ENFILE, ENOBUFS). */
public final class SocketOpener {
    /** Bad input has to be told within 3 s. */
    private static final long PATIENCE_NS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long PAUSE_MS = 20;

    /** Opens a socket. */
    public interface SocketSupplier<T> {
        T open() throws IOException;
    }

    private SocketOpener() { }

    /** A listener for connections; {@code shared}: other processes may listen at the same address. */
    public static ServerSocketChannel openTcpListener(InetSocketAddress address, int backlog, boolean shared) throws IOException {
        ServerSocketChannel listener = openWithRetry(ServerSocketChannel::open);
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            listener.bind(address, backlog);
            listener.configureBlocking(false);
            return listener;
        } catch (IOException e) {
            listener.close();
            throw e;
        }
    }

    /** Tries until a socket can be had, or could not for too long; from a thread that may wait. */
    public static <T> T openWithRetry(SocketSupplier<T> socket) throws IOException {
        long from = System.nanoTime();
        while (true) {
            try {
                return socket.open();
            } catch (IOException e) {
                if (System.nanoTime() - from > PATIENCE_NS) {
                    throw e;
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }
}
