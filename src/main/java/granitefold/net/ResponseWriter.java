package granitefold.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;

/** Writes the responses to one client, each after a 100 (Continue) that is still being written, and accounts for them until they are written. */
final class ResponseWriter {
    private static final ByteBuffer CONTINUE =
            ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII)).asReadOnlyBuffer();

    private final EndPoint endPoint;
    private final HeldMemory heldMemory;
    private final Runnable failed;
    private boolean writingContinue;
    private Runnable afterContinue;
    private int heldBytes;

    /** @param failed is called when a write has failed */
    ResponseWriter(EndPoint endPoint, HeldMemory heldMemory, Runnable failed) {
        this.endPoint = endPoint;
        this.heldMemory = heldMemory;
        this.failed = failed;
    }

    /** Writes a 100 (Continue), which the client awaits before it sends the body. */
    void writeContinue() {
        writingContinue = true;
        endPoint.write(NonBlockingConnection.whenWritten(this::continueWritten, failed), CONTINUE.duplicate());
    }

    private void continueWritten() {
        writingContinue = false;
        Runnable response = afterContinue;
        afterContinue = null;
        if (response != null) {
            response.run();
        }
    }

    /** Writes a response; {@code written} is called at its end. */
    void write(ByteBuffer[] message, Runnable written) {
        hold(Stream.of(message).mapToInt(ByteBuffer::remaining).sum());
        Runnable write = () -> endPoint.write(NonBlockingConnection.whenWritten(() -> {
            release();
            written.run();
        }, failed), message);
        if (writingContinue) {
            afterContinue = write;
        } else {
            write.run();
        }
    }

    /** Releases the memory of a response that is written, or never will be. */
    void release() {
        hold(0);
    }

    private void hold(int bytes) {
        heldMemory.hold(HeldMemory.Use.ANSWER, bytes - heldBytes);
        heldBytes = bytes;
    }
}
