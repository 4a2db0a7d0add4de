package granitefold.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The header that a proxy sends before the data of a connection, as defined in "The PROXY protocol, versions 1 &amp; 2"
 * (HAProxy, doc/proxy-protocol.txt). Section numbers refer to that document.
 *
 * @param local whether the proxy itself opened the connection, as for a health check (section 2.2, LOCAL): the
 *     connection's own addresses apply
 * @param source address of the client that connected to the proxy; null if {@code local} or not given
 */
public record ProxyHeader(boolean local, InetSocketAddress source) {
    /** Maximum line length of version 1 with its line end (section 2.1). */
    private static final int MAX_V1_BYTES = 107;
    private static final byte[] V1_PREFIX = "PROXY ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] V2_SIGNATURE = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};
    private static final int V2_FIXED_BYTES = 16;
    /** Maximum length accepted of version 2, which allows 65,535 bytes. Addresses take up to 216, the rest are extensions. */
    public static final int MAX_V2_BYTES = 2048;
    private static final int TLV_HEADER_BYTES = 3, TLV_CRC32C = 0x03, CRC_BYTES = 4;
    private static final int INET = 0x1, INET6 = 0x2, UNIX = 0x3, STREAM = 0x1;
    private static final int MAX_PORT = 65_535;

    /**
     * Decodes the header at the buffer's position and moves the position past it. Returns null, and leaves the position,
     * if the header is incomplete. Data that does not start with a header is rejected: section 2 forbids guessing whether one
     * is present.
     */
    public static ProxyHeader decode(ByteBuffer in) throws BadRequestException {
        byte[] prefix = in.get(in.position()) == V2_SIGNATURE[0] ? V2_SIGNATURE : V1_PREFIX;
        int n = Math.min(prefix.length, in.remaining());
        for (int i = 0; i < n; i++) {
            if (in.get(in.position() + i) != prefix[i]) {
                throw malformed("no PROXY header");
            }
        }
        if (n < prefix.length) {
            return null;
        }
        return prefix == V2_SIGNATURE ? decodeV2(in) : decodeV1(in);
    }

    private static BadRequestException malformed(String why) {
        return new BadRequestException(400, why);
    }

    // ---------------------------------------------------------------- version 1, section 2.1
    private static ProxyHeader decodeV1(ByteBuffer in) throws BadRequestException {
        int from = in.position();
        int searchEnd = Math.min(in.remaining(), MAX_V1_BYTES);
        int end = -1;
        for (int i = 1; i < searchEnd && end < 0; i++) {
            if (in.get(from + i) == '\n') {
                end = i;
            }
        }
        if (end < 0) {
            if (in.remaining() >= MAX_V1_BYTES) {
                throw malformed("PROXY line without an end");
            }
            return null;
        }
        if (in.get(from + end - 1) != '\r') {
            throw malformed("PROXY line ends in a bare line feed");
        }
        byte[] line = new byte[end - 1];
        in.get(line);
        in.position(from + end + 1);
        String[] parts = new String(line, StandardCharsets.ISO_8859_1).split(" ", -1);
        if (parts[1].equals("UNKNOWN")) {
            // The rest of the line must be ignored.
            return new ProxyHeader(false, null);
        }
        boolean ipv6 = parts[1].equals("TCP6");
        if (parts.length != 6 || !ipv6 && !parts[1].equals("TCP4")) {
            throw malformed("PROXY line is malformed");
        }
        literal(parts[3], ipv6);
        port(parts[5]);
        return new ProxyHeader(false, new InetSocketAddress(literal(parts[2], ipv6), port(parts[4])));
    }

    private static InetAddress literal(String text, boolean ipv6) throws BadRequestException {
        // Only IP literals may reach the resolver, which would look up a host name.
        if (text.matches(ipv6 ? "[0-9a-fA-F:]+([0-9.]*)" : "([0-9]{1,3}\\.){3}[0-9]{1,3}") && text.contains(ipv6 ? ":" : ".")) {
            try {
                return InetAddress.getByName(text);
            } catch (UnknownHostException e) {
                // reported below
            }
        }
        throw malformed("PROXY line has a bad address");
    }

    private static int port(String text) throws BadRequestException {
        // neither a sign nor leading zeros are allowed
        if (text.matches("0|[1-9][0-9]{0,4}") && Integer.parseInt(text) <= MAX_PORT) {
            return Integer.parseInt(text);
        }
        throw malformed("PROXY line has a bad port");
    }

    // ---------------------------------------------------------------- version 2, section 2.2
    private static ProxyHeader decodeV2(ByteBuffer in) throws BadRequestException {
        int from = in.position();
        if (in.remaining() < V2_FIXED_BYTES) {
            return null;
        }
        int command = in.get(from + 12) & 0xff;
        int family = (in.get(from + 13) & 0xff) >> 4;
        int transport = in.get(from + 13) & 0xf;
        int length = in.getShort(from + 14) & 0xffff;
        if (command >> 4 != 2 || (command & 0xf) > 1 || family > UNIX || transport > 2) {
            throw malformed("PROXY header of an unknown version, command or family");
        }
        if (length > MAX_V2_BYTES) {
            throw malformed("PROXY header is too long");
        }
        if (in.remaining() < V2_FIXED_BYTES + length) {
            return null;
        }
        ByteBuffer rest = in.slice(from + V2_FIXED_BYTES, length);
        ByteBuffer whole = in.slice(from, V2_FIXED_BYTES + length);
        in.position(from + V2_FIXED_BYTES + length);
        boolean local = (command & 0xf) == 0;
        if (local) {
            // The receiver must ignore the addresses of a LOCAL header.
            return new ProxyHeader(true, null);
        }
        if (transport != STREAM && family != 0) {
            throw malformed("PROXY header is not about a stream");
        }
        InetSocketAddress source = source(rest, family);
        if (family != 0) {
            extensions(rest, whole);
        }
        return new ProxyHeader(false, source);
    }

    private static InetSocketAddress source(ByteBuffer rest, int family) throws BadRequestException {
        int size = family == INET ? 4 : family == INET6 ? 16 : family == UNIX ? 108 : 0;
        int addressBytes = family == 0 ? 0 : 2 * size + (family == UNIX ? 0 : 4);
        if (rest.remaining() < addressBytes) {
            throw malformed("PROXY header is shorter than its addresses");
        }
        if (size == 0 || family == UNIX) {
            rest.position(addressBytes);
            return null;
        }
        byte[] address = new byte[size];
        rest.get(address);
        rest.position(2 * size);
        int port = rest.getShort() & 0xffff;
        rest.getShort();
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw malformed("PROXY header has a bad address");
        }
    }

    /** Checks the extensions (section 2.2.1 ff.): unknown types are skipped, a checksum must match (2.2.3). */
    private static void extensions(ByteBuffer rest, ByteBuffer whole) throws BadRequestException {
        while (rest.hasRemaining()) {
            if (rest.remaining() < TLV_HEADER_BYTES) {
                throw malformed("PROXY extension is cut off");
            }
            int type = rest.get() & 0xff;
            int length = rest.getShort() & 0xffff;
            if (length > rest.remaining()) {
                throw malformed("PROXY extension is longer than its header");
            }
            if (type == TLV_CRC32C) {
                int at = V2_FIXED_BYTES + rest.position();
                if (length != CRC_BYTES) {
                    throw malformed("PROXY checksum has a bad length");
                }
                byte[] copy = new byte[whole.limit()];
                whole.get(0, copy);
                java.util.Arrays.fill(copy, at, at + CRC_BYTES, (byte) 0);
                CRC32C crc = new CRC32C();
                crc.update(copy);
                if ((int) crc.getValue() != rest.getInt(rest.position())) {
                    throw malformed("PROXY checksum does not hold");
                }
            }
            rest.position(rest.position() + length);
        }
    }
}
