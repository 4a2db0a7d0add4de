package granitefold.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/** Opens the sockets that the start depends on, and retries if {@code socket} fails temporarily (ENFILE, ENOBUFS). */
public final class SocketOpener {
    /** An invalid configuration, such as an unusable address, must be reported within 3 s. */
    private static final long RETRY_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long RETRY_INTERVAL_MS = 20;

    /** Opens a socket or a selector. */
    public interface SocketSupplier<T> {
        T open() throws IOException;
    }

    private SocketOpener() { }

    /** Opens a TCP listener; {@code shared}: other processes may listen on the same address. */
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

    /** Opens a socket, retrying for a limited time; must be called on a thread that may block. */
    public static <T> T openWithRetry(SocketSupplier<T> supplier) throws IOException {
        long startNs = System.nanoTime();
        while (true) {
            try {
                return supplier.open();
            } catch (IOException e) {
                if (System.nanoTime() - startNs > RETRY_TIMEOUT_NS) {
                    throw e;
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }
}
