package granitefold.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** {@code host:port}, where the host is a literal address: there is no DNS. */
public final class Address {
    private Address() { }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        // a name would be looked up, which blocks
        if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            try {
                return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
            } catch (UnknownHostException | IllegalArgumentException e) {
                // told below
            }
        }
        throw new InvalidInputException("not an address: " + text);
    }
}
