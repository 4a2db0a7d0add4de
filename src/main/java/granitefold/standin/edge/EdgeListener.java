package granitefold.standin.edge;

import java.net.InetSocketAddress;

/**
 * Receives, on the relays' thread, what the opener of a connection does at the time it does it, even while a fault delays
 * the bytes.
 */
public interface EdgeListener {
    /** Ignores all events. */
    EdgeListener NONE = new EdgeListener() { };

    /**
     * The opener has sent bytes, which were read at {@code atNs}. They may have arrived as early as {@code earliestNs}, since
     * the relays' thread was busy with other channels in between.
     *
     * @param connection the address of the connection as the other side sees it
     */
    default void sent(Edge edge, InetSocketAddress connection, long earliestNs, long atNs) { }

    /** The opener has closed the connection, or the connection has failed. */
    default void closed(Edge edge, InetSocketAddress connection, long atNs) { }

    /** Bytes of the opener were forwarded to the other side. {@code opener}: its own address. */
    default void forwarded(Edge edge, InetSocketAddress opener, long atNs) { }

    /** The close by the opener was forwarded to the other side. {@code opener}: its own address. */
    default void closeForwarded(Edge edge, InetSocketAddress opener, long atNs) { }
}
