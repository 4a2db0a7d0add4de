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

/** Versions 1 and 2, whole, cut off at each byte, and malformed. */
class ProxyHeaderTest {
    private static final byte[] SIGNATURE = {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A};

    private static byte[] v2(int command, int family, int length, byte... rest) {
        ByteBuffer b = ByteBuffer.allocate(16 + rest.length);
        b.put(SIGNATURE).put((byte) command).put((byte) family).putShort((short) length).put(rest);
        return b.array();
    }

    private static byte[] inet(byte... extensions) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.writeBytes(new byte[] {10, 1, 2, 3, 10, 9, 9, 9, 0x1F, (byte) 0x90, 0, 80});
        rest.writeBytes(extensions);
        return v2(0x21, 0x11, rest.size(), rest.toByteArray());
    }

    private static byte[] text(String line) {
        return line.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Decodes at every length: only the whole gives an answer, and what is behind it stays. */
    private static ProxyHeader whole(byte[] header) throws BadRequestException {
        for (int n = 1; n < header.length; n++) {
            ByteBuffer cut = ByteBuffer.wrap(header, 0, n);
            assertNull(ProxyHeader.decode(cut), "at " + n);
            assertEquals(0, cut.position());
        }
        ByteBuffer in = ByteBuffer.allocate(header.length + 3).put(header).put(text("GET")).flip();
        ProxyHeader found = ProxyHeader.decode(in);
        assertEquals(3, in.remaining());
        return found;
    }

    private static void refused(byte[] header) {
        assertThrows(BadRequestException.class, () -> ProxyHeader.decode(ByteBuffer.wrap(header)), new String(header,
                StandardCharsets.ISO_8859_1));
    }

    @Test
    void versionOne() throws BadRequestException {
        assertEquals("/192.168.0.1:56324", whole(text("PROXY TCP4 192.168.0.1 192.168.0.11 56324 443\r\n")).source().toString());
        assertEquals(443, whole(text("PROXY TCP6 2001:db8::1 ::1 443 1\r\n")).source().getPort());
        assertNull(whole(text("PROXY UNKNOWN\r\n")).source());
        assertNull(whole(text("PROXY UNKNOWN ffff:: what ever\r\n")).source());
        for (String bad : new String[] {"POST /ficha HTTP/1.1\r\n", "PROXY TCP4 1.2.3.4 1.2.3.4 1 2\n", "PROXY TCP4 1.2.3.4\r\n",
            "PROXY TCP4 1.2.3.4 1.2.3.4 1 65536\r\n", "PROXY TCP4 1.2.3.4 1.2.3.4 01 2\r\n", "PROXY TCP4 host 1.2.3.4 1 2\r\n",
            "PROXY TCP4 1.2.3.999 1.2.3.4 1 2\r\n", "PROXY TCP4 ::1 ::1 1 2\r\n", "PROXY UDP4 1.2.3.4 1.2.3.4 1 2\r\n",
            "PROXY TCP4  1.2.3.4 1.2.3.4 1 2\r\n", "PROXY " + "x".repeat(200), "\r\nPROXY"}) {
            refused(text(bad));
        }
    }

    @Test
    void versionTwo() throws BadRequestException {
        assertEquals("/10.1.2.3:8080", whole(inet()).source().toString());
        assertEquals("/10.1.2.3:8080", whole(inet((byte) 0xEE, (byte) 0, (byte) 2, (byte) 1, (byte) 2)).source().toString(),
                "an unknown extension is skipped");
        assertTrue(whole(v2(0x20, 0x00, 0)).local());
        assertTrue(whole(v2(0x20, 0x11, 3, (byte) 9, (byte) 9, (byte) 9)).local(), "LOCAL: what it tells is skipped");
        assertNull(whole(v2(0x21, 0x00, 2, (byte) 1, (byte) 2)).source(), "AF_UNSPEC");
        assertNull(whole(v2(0x21, 0x31, 216, new byte[216])).source(), "AF_UNIX");
        refused(v2(0x11, 0x11, 12, new byte[12]));
        refused(v2(0x22, 0x11, 12, new byte[12]));
        refused(v2(0x21, 0x41, 12, new byte[12]));
        refused(v2(0x21, 0x12, 12, new byte[12]));
        refused(v2(0x21, 0x11, 11, new byte[11]));
        refused(v2(0x21, 0x21, 12, new byte[12]));
        refused(v2(0x21, 0x11, 65_535, new byte[12]));
        refused(inet((byte) 0xEE, (byte) 0, (byte) 200));
        refused(inet((byte) 0xEE, (byte) 0));
    }

    @Test
    void aChecksumMustHold() throws BadRequestException {
        byte[] header = inet((byte) 3, (byte) 0, (byte) 4, (byte) 0, (byte) 0, (byte) 0, (byte) 0);
        CRC32C crc = new CRC32C();
        crc.update(header);
        ByteBuffer.wrap(header).putInt(header.length - 4, (int) crc.getValue());
        assertEquals("/10.1.2.3:8080", whole(header).source().toString());
        header[17] ^= 1;
        refused(header);
    }
}
