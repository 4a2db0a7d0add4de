package granitefold.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Headers of versions 1 and 2: complete, truncated at each byte, and malformed. */
class ProxyHeaderTest {
    private static final byte[] SIGNATURE = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};

    private static byte[] v2Header(int command, int family, int length, byte... rest) {
        ByteBuffer b = ByteBuffer.allocate(16 + rest.length);
        b.put(SIGNATURE).put((byte) command).put((byte) family).putShort((short) length).put(rest);
        return b.array();
    }

    private static byte[] ipv4Header(byte... extensions) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.writeBytes(new byte[] {10, 1, 2, 3, 10, 9, 9, 9, 0x1F, (byte) 0x90, 0, 80});
        rest.writeBytes(extensions);
        return v2Header(0x21, 0x11, rest.size(), rest.toByteArray());
    }

    private static byte[] text(String line) {
        return line.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Decodes every prefix: only the complete header gives a result, and the data after it stays in the buffer. */
    private static ProxyHeader decodeEveryPrefix(byte[] header) throws BadRequestException {
        for (int n = 1; n < header.length; n++) {
            ByteBuffer prefix = ByteBuffer.wrap(header, 0, n);
            assertNull(ProxyHeader.decode(prefix), "at " + n);
            assertEquals(0, prefix.position());
        }
        ByteBuffer in = ByteBuffer.allocate(header.length + 3).put(header).put(text("GET")).flip();
        ProxyHeader found = ProxyHeader.decode(in);
        assertEquals(3, in.remaining());
        return found;
    }

    private static void assertRejected(byte[] header) {
        assertThrows(BadRequestException.class, () -> ProxyHeader.decode(ByteBuffer.wrap(header)), new String(header,
                StandardCharsets.ISO_8859_1));
    }

    @Test
    void versionOne() throws BadRequestException {
        assertEquals("/192.168.0.1:56324", decodeEveryPrefix(text("PROXY TCP4 192.168.0.1 192.168.0.11 56324 443\r\n")).source().toString());
        assertEquals(443, decodeEveryPrefix(text("PROXY TCP6 2001:db8::1 ::1 443 1\r\n")).source().getPort());
        assertNull(decodeEveryPrefix(text("PROXY UNKNOWN\r\n")).source());
        assertNull(decodeEveryPrefix(text("PROXY UNKNOWN ffff:: what ever\r\n")).source());
        for (String bad : new String[] {"POST /ficha HTTP/1.1\r\n", "PROXY TCP4 1.2.3.4 1.2.3.4 1 2\n", "PROXY TCP4 1.2.3.4\r\n",
            "PROXY TCP4 1.2.3.4 1.2.3.4 1 65536\r\n", "PROXY TCP4 1.2.3.4 1.2.3.4 01 2\r\n", "PROXY TCP4 host 1.2.3.4 1 2\r\n",
            "PROXY TCP4 1.2.3.999 1.2.3.4 1 2\r\n", "PROXY TCP4 ::1 ::1 1 2\r\n", "PROXY UDP4 1.2.3.4 1.2.3.4 1 2\r\n",
            "PROXY TCP4  1.2.3.4 1.2.3.4 1 2\r\n", "PROXY " + "x".repeat(200), "\r\nPROXY"}) {
            assertRejected(text(bad));
        }
    }

    @Test
    void versionTwo() throws BadRequestException {
        assertEquals("/10.1.2.3:8080", decodeEveryPrefix(ipv4Header()).source().toString());
        assertEquals("/10.1.2.3:8080", decodeEveryPrefix(ipv4Header((byte) 0xEE, (byte) 0, (byte) 2, (byte) 1, (byte) 2)).source().toString(),
                "an unknown extension is skipped");
        assertTrue(decodeEveryPrefix(v2Header(0x20, 0x00, 0)).local());
        assertTrue(decodeEveryPrefix(v2Header(0x20, 0x11, 3, (byte) 9, (byte) 9, (byte) 9)).local(), "LOCAL: addresses are skipped");
        assertNull(decodeEveryPrefix(v2Header(0x21, 0x00, 2, (byte) 1, (byte) 2)).source(), "AF_UNSPEC");
        assertNull(decodeEveryPrefix(v2Header(0x21, 0x31, 216, new byte[216])).source(), "AF_UNIX");
        assertRejected(v2Header(0x11, 0x11, 12, new byte[12]));
        assertRejected(v2Header(0x22, 0x11, 12, new byte[12]));
        assertRejected(v2Header(0x21, 0x41, 12, new byte[12]));
        assertRejected(v2Header(0x21, 0x12, 12, new byte[12]));
        assertRejected(v2Header(0x21, 0x11, 11, new byte[11]));
        assertRejected(v2Header(0x21, 0x21, 12, new byte[12]));
        assertRejected(v2Header(0x21, 0x11, 65_535, new byte[12]));
        assertRejected(ipv4Header((byte) 0xEE, (byte) 0, (byte) 200));
        assertRejected(ipv4Header((byte) 0xEE, (byte) 0));
    }

    @Test
    void aChecksumMustMatch() throws BadRequestException {
        byte[] header = ipv4Header((byte) 3, (byte) 0, (byte) 4, (byte) 0, (byte) 0, (byte) 0, (byte) 0);
        CRC32C crc = new CRC32C();
        crc.update(header);
        ByteBuffer.wrap(header).putInt(header.length - 4, (int) crc.getValue());
        assertEquals("/10.1.2.3:8080", decodeEveryPrefix(header).source().toString());
        header[17] ^= 1;
        assertRejected(header);
    }
}
