package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on loopback with one daemon thread per connection. */
public abstract class LoopbackServer implements Closeable {
    private static final int BACKLOG = 256;

    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

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

    /** Returns the address that the server listens on. */
    public final InetSocketAddress socketAddress() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Resets all open connections. */
    protected final void resetAll() {
        for (Socket s : openSockets) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // the connection is closed either way
            }
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openSockets.add(socket);
                startDaemon(() -> {
                    try (socket) {
                        serve(socket);
                    } catch (IOException e) {
                        // the client has closed the connection
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        openSockets.remove(socket);
                    }
                }, getClass().getSimpleName() + " connection");
            } catch (IOException e) {
                // the loop ends once the listener is closed
            }
        }
    }

    protected abstract void serve(Socket socket) throws IOException, InterruptedException;

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : openSockets) {
            s.close();
        }
    }
}
