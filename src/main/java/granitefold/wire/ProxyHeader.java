package granitefold.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The header that a proxy puts before a connection's own bytes, versions 1 and 2, after "The PROXY protocol, versions 1
 * &amp; 2" (HAProxy, doc/proxy-protocol.txt); section numbers are that document's.
 *
 * @param local the proxy speaks for itself, as in a health check (section 2.2, LOCAL): the connection's own ends count
 * @param source who has connected to the proxy; null where it is local or not told
 */
public record ProxyHeader(boolean local, InetSocketAddress source) {
    /** Section 2.1: the longest line of version 1, its line end included. */
    private static final int V1_MOST = 107;
    private static final byte[] V1 = "PROXY ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] V2 = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};
    private static final int V2_FIXED = 16;
    /** Of the 65,535 bytes that version 2 could announce; addresses take 216, the rest are extensions. */
    public static final int MAX_V2_BYTES = 2048;
    private static final int TLV_HEAD = 3, TLV_CRC32C = 0x03, CRC_LENGTH = 4;
    private static final int INET = 0x1, INET6 = 0x2, UNIX = 0x3, STREAM = 0x1;
    private static final int PORT_MOST = 65_535;

    /**
     * Decodes the header at the buffer's start and moves past it; null where more bytes must come first, and then
     * nothing is moved. Section 2: what does not start with a header is refused, never guessed at.
     */
    public static ProxyHeader decode(ByteBuffer in) throws BadRequestException {
        byte[] start = in.get(in.position()) == V2[0] ? V2 : V1;
        int n = Math.min(start.length, in.remaining());
        for (int i = 0; i < n; i++) {
            if (in.get(in.position() + i) != start[i]) {
                throw bad("no PROXY header");
            }
        }
        if (n < start.length) {
            return null;
        }
        return start == V2 ? second(in) : first(in);
    }

    private static BadRequestException bad(String why) {
        return new BadRequestException(400, why);
    }

    // ---------------------------------------------------------------- version 1, section 2.1
    private static ProxyHeader first(ByteBuffer in) throws BadRequestException {
        int from = in.position();
        int most = Math.min(in.remaining(), V1_MOST);
        int end = -1;
        for (int i = 1; i < most && end < 0; i++) {
            if (in.get(from + i) == '\n') {
                end = i;
            }
        }
        if (end < 0) {
            if (in.remaining() >= V1_MOST) {
                throw bad("PROXY line without an end");
            }
            return null;
        }
        if (in.get(from + end - 1) != '\r') {
            throw bad("PROXY line ends in a bare line feed");
        }
        byte[] line = new byte[end - 1];
        in.get(line);
        in.position(from + end + 1);
        String[] words = new String(line, StandardCharsets.ISO_8859_1).split(" ", -1);
        if (words[1].equals("UNKNOWN")) {
            // whatever stands behind it is to be ignored
            return new ProxyHeader(false, null);
        }
        boolean six = words[1].equals("TCP6");
        if (words.length != 6 || !six && !words[1].equals("TCP4")) {
            throw bad("PROXY line is malformed");
        }
        literal(words[3], six);
        port(words[5]);
        return new ProxyHeader(false, new InetSocketAddress(literal(words[2], six), port(words[4])));
    }

    private static InetAddress literal(String text, boolean six) throws BadRequestException {
        // only what is surely a literal may reach the resolver
        if (text.matches(six ? "[0-9a-fA-F:]+([0-9.]*)" : "([0-9]{1,3}\\.){3}[0-9]{1,3}") && text.contains(six ? ":" : ".")) {
            try {
                return InetAddress.getByName(text);
            } catch (UnknownHostException e) {
                // told below
            }
        }
        throw bad("PROXY line has a bad address");
    }

    private static int port(String text) throws BadRequestException {
        // no sign, no leading zero
        if (text.matches("0|[1-9][0-9]{0,4}") && Integer.parseInt(text) <= PORT_MOST) {
            return Integer.parseInt(text);
        }
        throw bad("PROXY line has a bad port");
    }

    // ---------------------------------------------------------------- version 2, section 2.2
    private static ProxyHeader second(ByteBuffer in) throws BadRequestException {
        int from = in.position();
        if (in.remaining() < V2_FIXED) {
            return null;
        }
        int command = in.get(from + 12) & 0xff;
        int family = (in.get(from + 13) & 0xff) >> 4;
        int transport = in.get(from + 13) & 0xf;
        int length = in.getShort(from + 14) & 0xffff;
        if (command >> 4 != 2 || (command & 0xf) > 1 || family > UNIX || transport > 2) {
            throw bad("PROXY header of an unknown version, command or family");
        }
        if (length > MAX_V2_BYTES) {
            throw bad("PROXY header is too long");
        }
        if (in.remaining() < V2_FIXED + length) {
            return null;
        }
        ByteBuffer rest = in.slice(from + V2_FIXED, length);
        ByteBuffer whole = in.slice(from, V2_FIXED + length);
        in.position(from + V2_FIXED + length);
        boolean local = (command & 0xf) == 0;
        if (local) {
            // the receiver must skip what it says of addresses, whatever that is
            return new ProxyHeader(true, null);
        }
        if (transport != STREAM && family != 0) {
            throw bad("PROXY header is not about a stream");
        }
        InetSocketAddress source = source(rest, family);
        if (family != 0) {
            extensions(rest, whole);
        }
        return new ProxyHeader(false, source);
    }

    private static InetSocketAddress source(ByteBuffer rest, int family) throws BadRequestException {
        int size = family == INET ? 4 : family == INET6 ? 16 : family == UNIX ? 108 : 0;
        int need = family == 0 ? 0 : 2 * size + (family == UNIX ? 0 : 4);
        if (rest.remaining() < need) {
            throw bad("PROXY header is shorter than its addresses");
        }
        if (size == 0 || family == UNIX) {
            rest.position(need);
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
            throw bad("PROXY header has a bad address");
        }
    }

    /** Section 2.2.1 ff.: unknown types are skipped, a checksum must hold (2.2.3). */
    private static void extensions(ByteBuffer rest, ByteBuffer whole) throws BadRequestException {
        while (rest.hasRemaining()) {
            if (rest.remaining() < TLV_HEAD) {
                throw bad("PROXY extension is cut off");
            }
            int type = rest.get() & 0xff;
            int length = rest.getShort() & 0xffff;
            if (length > rest.remaining()) {
                throw bad("PROXY extension is longer than its header");
            }
            if (type == TLV_CRC32C) {
                int at = V2_FIXED + rest.position();
                if (length != CRC_LENGTH) {
                    throw bad("PROXY checksum has a bad length");
                }
                byte[] copy = new byte[whole.limit()];
                whole.get(0, copy);
                java.util.Arrays.fill(copy, at, at + CRC_LENGTH, (byte) 0);
                CRC32C crc = new CRC32C();
                crc.update(copy);
                if ((int) crc.getValue() != rest.getInt(rest.position())) {
                    throw bad("PROXY checksum does not hold");
                }
            }
            rest.position(rest.position() + length);
        }
    }
}
