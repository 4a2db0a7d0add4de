package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A free port that is given to a process to listen on, before it starts and between its restarts. A socket that is bound but
 * does not listen holds the port: the kernel does not choose it for anybody else, connections to it are refused, and a
 * listener with SO_REUSEADDR can still open it.
 */
public final class ReservedPort implements Closeable {
    private final Socket holder = new Socket();

    /** Reserves a port of a local address until it is closed. */
    public ReservedPort(InetAddress address) throws IOException {
        try {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(address, 0));
        } catch (IOException e) {
            holder.close();
            throw e;
        }
    }

    /** Returns the address with the reserved port. */
    public InetSocketAddress address() {
        return (InetSocketAddress) holder.getLocalSocketAddress();
    }

    /** Returns the reserved port. */
    public int port() {
        return holder.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        holder.close();
    }
}
