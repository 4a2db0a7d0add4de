package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listener on loopback with a daemon thread a connection. */
public abstract class LoopbackServer implements Closeable {
    private static final int BACKLOG = 256;

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    protected LoopbackServer() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startDaemon(this::accept, getClass().getSimpleName());
    }

    public static void startDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    public final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Where it listens. */
    public final InetSocketAddress socketAddress() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Resets every connection that is open. */
    protected final void resetAll() {
        for (Socket s : open) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // closed is closed
            }
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                startDaemon(() -> {
                    try (socket) {
                        serve(socket);
                    } catch (IOException e) {
                        // the other side has gone, which is its right
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        open.remove(socket);
                    }
                }, getClass().getSimpleName() + " connection");
            } catch (IOException e) {
                // the next round tells whether it is over
            }
        }
    }

    protected abstract void serve(Socket socket) throws IOException, InterruptedException;

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
