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
 * Datagrams from and to siblings; one's place in the list of addresses is its number. Each ends in two bytes of the key of its
 * sender's settings: tenants and dispatchers go by their places in those, and an address may have been another deployment's a
 * moment ago.
 */
final class SiblingConnection extends NonBlockingConnection {
    private static final int MOST = 256, KEY = 2;

    private final DatagramChannelEndPoint datagrams;
    private final EventLoop loop;
    private final List<InetSocketAddress> addresses;
    private final byte[] key;
    /** One line tells of words of other settings. */
    private boolean foreign;
    /** One byte more than is legal, so that a longer datagram shows. */
    private final ByteBuffer in = BufferUtil.allocate(MOST + 1);

    SiblingConnection(EndPoint endPoint, EventLoop loop, List<InetSocketAddress> addresses, String settings) {
        super(endPoint);
        datagrams = (DatagramChannelEndPoint) endPoint;
        this.loop = loop;
        this.addresses = addresses;
        key = HexFormat.of().parseHex(settings, 0, 2 * KEY);
    }

    @Override
    public void onFillable() {
        try {
            BufferUtil.clear(in);
            for (SocketAddress from = datagrams.receive(in); from != null; from = datagrams.receive(in)) {
                int sibling = addresses.indexOf(from);
                if (sibling >= 0 && in.remaining() <= MOST && in.remaining() >= KEY) {
                    byte[] all = BufferUtil.toArray(in);
                    if (Arrays.equals(all, all.length - KEY, all.length, key, 0, KEY)) {
                        loop.post(new Event.SiblingMessage(sibling, Arrays.copyOf(all, all.length - KEY)));
                    } else if (!foreign) {
                        foreign = true;
                        EventLog.log(LogEvent.SIBLINGS_FOREIGN, from);
                    }
                }
                BufferUtil.clear(in);
            }
        } catch (IOException e) {
            // what is lost on the way is lost; the next one may come
        }
        awaitReadable();
    }

    void tell(int sibling, byte[] message) {
        if (sibling < 0 || sibling >= addresses.size() || message.length > MOST - KEY) {
            return;
        }
        try {
            byte[] all = Arrays.copyOf(message, message.length + KEY);
            System.arraycopy(key, 0, all, message.length, KEY);
            datagrams.send(addresses.get(sibling), ByteBuffer.wrap(all));
        } catch (IOException e) {
            // as above
        }
    }
}
