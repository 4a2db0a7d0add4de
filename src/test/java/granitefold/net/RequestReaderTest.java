package granitefold.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.wire.BadRequestException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What a request holds is counted while it is held, and limited in its parts. */
class RequestReaderTest {
    private static final int MAX_FIELDS = 100;
    private static final String FIRST_LINES = "POST /ficha HTTP/1.1\r\nHost: x\r\n";

    private int reservedBytes;
    private int limitBytes = Integer.MAX_VALUE;
    private final RequestReader reader = new RequestReader(this::reserve, () -> { });

    private boolean reserve(int bytes) {
        if (bytes > 0 && reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        assertTrue(reservedBytes >= 0, "more was released than reserved");
        return true;
    }

    private boolean read(String text) {
        return reader.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private int errorStatus() {
        return assertThrows(BadRequestException.class, () -> reader.decode(null)).status();
    }

    private static String fields(int count) {
        return "a:b\r\n".repeat(count);
    }

    /** Guards against heads whose many short fields take some 40 times their bytes. */
    @Test
    void requestWithTooManyFieldsIsRejected() {
        assertTrue(!read(FIRST_LINES + fields(MAX_FIELDS - 1)));
        // a field is complete once the next line begins
        assertTrue(read(fields(1) + "z"));
        assertEquals(431, errorStatus());
        assertEquals(0, reservedBytes);
    }

    @Test
    void requestWithTooManyTrailersIsRejected() {
        assertTrue(read(FIRST_LINES + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(MAX_FIELDS) + "\r\n"));
        assertEquals(431, errorStatus());
    }

    /** Guards against a head that is held and not counted. */
    @Test
    void headThatDoesNotFitIsRejected() {
        limitBytes = 10_000;
        assertTrue(read("POST /ficha?sid=" + "q".repeat(7_000) + " HTTP/1.1\r\n"));
        assertEquals(503, errorStatus());
        assertEquals(0, reservedBytes);
    }

    /** Guards against a body that is counted by its length and held by the size of its buffer. */
    @Test
    void bodyIsCountedByTheBufferThatHoldsIt() {
        read(FIRST_LINES + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 33_000; i++) {
            read("1\r\nx\r\n");
        }
        assertTrue(reservedBytes >= 65_536 - RequestMemory.UNCOUNTED_BYTES, reservedBytes + " bytes");
    }

    /** However a request arrives and ends, nothing stays reserved, and another one can follow on the connection. */
    @Property(tries = 300)
    void nothingStaysReservedAfterARequest(@ForAll long seed) {
        Random random = new Random(seed);
        limitBytes = 10_000 + random.nextInt(100_000);
        reservedBytes = 0;
        RequestReader connection = new RequestReader(this::reserve, () -> { });
        boolean ended = false;
        while (!ended) {
            boolean chunked = random.nextBoolean();
            int length = random.nextInt(40_000);
            String body = chunked ? Integer.toHexString(length + 1) + "\r\n" + "x".repeat(length + 1) + "\r\n0\r\n" + fields(random.nextInt(3)) + "\r\n" : "x".repeat(length);
            ByteBuffer input = ByteBuffer.wrap((FIRST_LINES + fields(random.nextInt(MAX_FIELDS + 10))
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + length + "\r\n\r\n") + body).getBytes(StandardCharsets.ISO_8859_1));
            boolean over = false;
            while (!over && input.hasRemaining()) {
                ByteBuffer part = input.slice(input.position(), Math.min(input.remaining(), 1 + random.nextInt(5_000)));
                over = connection.read(part);
                input.position(input.position() + part.position());
            }
            ended = !over || connection.failed() || random.nextInt(4) == 0;
            connection.release();
            assertEquals(0, reservedBytes);
            connection.startNext();
        }
    }
}
