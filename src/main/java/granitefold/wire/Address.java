package granitefold.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats {@code host:port}, where the host is a literal IP address. Host names are not resolved. */
public final class Address {
    private Address() { }

    /** Formats an address as {@code host:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Parses {@code host:port}; throws {@link InvalidInputException} if the host is not a literal address. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        // A host name would cause a blocking DNS lookup.
        if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            try {
                return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
            } catch (UnknownHostException | IllegalArgumentException e) {
                // reported below
            }
        }
        throw new InvalidInputException("not an address: " + text);
    }
}
