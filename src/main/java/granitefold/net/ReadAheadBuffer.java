package granitefold.net;

import granitefold.wire.ClientRequest;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.IntPredicate;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The input of a client connection that has not been processed yet. It grows while a request is in progress, since the client's
 * disconnect is only detected by reading on.
 */
final class ReadAheadBuffer {
    private static final int INITIAL_BYTES = 4096;

    /** Reserves memory for a number of bytes, or releases it if negative; returns false if the limit is reached. */
    private final IntPredicate reserveBytes;
    private final ArrivalTimes arrivalTimes;
    private ByteBuffer input = BufferUtil.allocate(INITIAL_BYTES);

    /** @param sinceNs the earliest time ({@link System#nanoTime}) at which input may have arrived */
    ReadAheadBuffer(IntPredicate reserveBytes, long sinceNs) {
        this.reserveBytes = reserveBytes;
        arrivalTimes = new ArrivalTimes(sinceNs);
    }

    /** Input that has not been read yet arrived after this time, unless it came with the connection. */
    void unreadSince(long sinceNs) {
        arrivalTimes.nothingUntil(sinceNs);
    }

    /** Returns the earliest time at which the byte that was consumed last may have arrived. */
    long consumedSinceNs() {
        return arrivalTimes.lastConsumedSinceNs(input.remaining());
    }

    /** Returns the input, to be consumed; valid until the buffer is filled or shrunk. */
    ByteBuffer input() {
        return input;
    }

    boolean hasRemaining() {
        return input.hasRemaining();
    }

    /** Returns whether unprocessed input takes the whole buffer; what was consumed is overwritten by the next fill. */
    boolean isFull() {
        return input.remaining() == input.capacity();
    }

    void clear() {
        BufferUtil.clear(input);
    }

    /** Reads what fits; returns the number of bytes, 0 if there are none, or a negative number at the end of the stream. */
    int fillFrom(EndPoint endPoint) throws IOException {
        long beginNs = System.nanoTime();
        int count = endPoint.fill(input);
        if (count > 0) {
            arrivalTimes.received(count);
        } else if (count == 0) {
            arrivalTimes.drained(beginNs);
        }
        return count;
    }

    /** What became of reading everything that had arrived. */
    enum ReadResult {
        /** Everything was read, and the connection is open. */
        OPEN,
        /** The remote end has closed the connection. */
        CLOSED,
        /** There is no room for more: whether the remote end has closed the connection is not known. */
        FULL
    }

    /** Reads everything that has arrived, as far as there is room. */
    ReadResult readToEnd(EndPoint endPoint) {
        try {
            int count = 1;
            while (count > 0) {
                if (!ensureRoom()) {
                    return ReadResult.FULL;
                }
                count = fillFrom(endPoint);
            }
            return count < 0 ? ReadResult.CLOSED : ReadResult.OPEN;
        } catch (IOException e) {
            return ReadResult.CLOSED;
        }
    }

    /** Makes room for more input if there is none; returns false if a limit is reached. */
    boolean ensureRoom() {
        return !isFull() || enlarge();
    }

    private boolean enlarge() {
        int additional = input.capacity();
        if (additional > ClientRequest.MAX_BODY_BYTES || !reserveBytes.test(additional)) {
            return false;
        }
        resize(2 * additional);
        return true;
    }

    /** Returns to the initial size if the remaining input fits. */
    void shrink() {
        if (input.capacity() > INITIAL_BYTES && input.remaining() <= INITIAL_BYTES) {
            reserveBytes.test(INITIAL_BYTES - input.capacity());
            resize(INITIAL_BYTES);
        }
    }

    private void resize(int capacity) {
        ByteBuffer resized = BufferUtil.allocate(capacity);
        BufferUtil.append(resized, input);
        input = resized;
    }
}
