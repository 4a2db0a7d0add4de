package granitefold.net;

import granitefold.core.Event;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Sends datagrams to siblings and receives theirs; a sibling's number is its index in the list of addresses. Each datagram ends in
 * the first two bytes of the key of its sender's settings: messages refer to tenants and dispatchers by their indexes in the settings,
 * and an address may have belonged to another deployment a moment ago.
 */
final class SiblingConnection extends NonBlockingConnection {
    private static final int MAX_DATAGRAM_BYTES = 256, KEY_BYTES = 2;
    /** The maximum of datagrams that are read before other connections get their turn. */
    private static final int MAX_DATAGRAMS_PER_TURN = 64;

    private final DatagramChannelEndPoint datagramEndPoint;
    private final EventLoop loop;
    private final List<InetSocketAddress> addresses;
    private final byte[] key;
    /** Whether messages from other settings were logged: only the first one is. */
    private boolean foreignLogged;
    /** One byte longer than a legal datagram, so that a longer one is detected. */
    private final ByteBuffer input = BufferUtil.allocate(MAX_DATAGRAM_BYTES + 1);

    SiblingConnection(EndPoint endPoint, EventLoop loop, List<InetSocketAddress> addresses, String settingsKey) {
        super(endPoint);
        datagramEndPoint = (DatagramChannelEndPoint) endPoint;
        this.loop = loop;
        this.addresses = addresses;
        key = HexFormat.of().parseHex(settingsKey, 0, 2 * KEY_BYTES);
    }

    @Override
    public void onFillable() {
        try {
            int received = 0;
            while (received < MAX_DATAGRAMS_PER_TURN && receive()) {
                received++;
            }
        } catch (IOException e) {
            // counts as a lost datagram; later ones may still arrive
        }
        awaitReadable();
    }

    /** Receives and handles one datagram; returns false if there is none. */
    private boolean receive() throws IOException {
        BufferUtil.clear(input);
        SocketAddress sender = datagramEndPoint.receive(input);
        if (sender == null) {
            return false;
        }
        int sibling = addresses.indexOf(sender);
        if (sibling >= 0 && input.remaining() <= MAX_DATAGRAM_BYTES && input.remaining() >= KEY_BYTES) {
            byte[] datagram = BufferUtil.toArray(input);
            if (Arrays.equals(datagram, datagram.length - KEY_BYTES, datagram.length, key, 0, KEY_BYTES)) {
                loop.post(new Event.SiblingMessage(sibling, Arrays.copyOf(datagram, datagram.length - KEY_BYTES)));
            } else if (!foreignLogged) {
                foreignLogged = true;
                EventLog.log(LogEvent.SIBLINGS_FOREIGN, sender);
            }
        }
        return true;
    }

    void send(int sibling, byte[] message) {
        if (sibling < 0 || sibling >= addresses.size() || message.length > MAX_DATAGRAM_BYTES - KEY_BYTES) {
            return;
        }
        try {
            byte[] datagram = Arrays.copyOf(message, message.length + KEY_BYTES);
            System.arraycopy(key, 0, datagram, message.length, KEY_BYTES);
            datagramEndPoint.send(addresses.get(sibling), ByteBuffer.wrap(datagram));
        } catch (IOException e) {
            // as in onFillable
        }
    }
}
