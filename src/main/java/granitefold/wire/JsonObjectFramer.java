package granitefold.wire;

import java.util.Arrays;

/**
 * Assembles complete JSON objects from the lines of a stream; an object may be indented and span many lines. The framer
 * only finds where an object ends; whether it is valid JSON is checked by the decoder.
 */
public final class JsonObjectFramer {
    /** The state of the stream after a line. */
    public enum Result {
        /** The line was blank, which the sender uses as a heartbeat. */
        BLANK,
        /** The object has not ended yet. */
        INCOMPLETE,
        /** The object has ended and is available in {@link #buffer}. */
        COMPLETE
    }

    /** A longer buffer is dropped once its object has been processed. */
    private static final int MAX_RETAINED_BYTES = 64 * 1024;
    private static final byte[] EMPTY = {};

    private final int maxBytes;
    private byte[] joined = EMPTY;
    private int length;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private byte[] buffer;
    private int offset;

    /** Creates a framer that rejects objects longer than {@code maxBytes}. */
    public JsonObjectFramer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds one line. An object that it completes stays available until the next call. */
    public Result add(byte[] line, int from, int size) {
        if (depth == 0 && !inString) {
            length = 0;
            dropLongBuffer();
        }
        boolean started = length > 0;
        boolean blank = true;
        for (int i = from; i < from + size; i++) {
            blank &= line[i] == ' ' || line[i] == '\t' || line[i] == '\r';
            scan(line[i]);
        }
        if (blank) {
            return started ? Result.INCOMPLETE : Result.BLANK;
        }
        boolean complete = depth <= 0 && !inString;
        if (complete && !started) {
            buffer = line;
            offset = from;
            length = size;
        } else {
            append(line, from, size);
            buffer = joined;
            offset = 0;
        }
        if (complete) {
            depth = 0;
        }
        return complete ? Result.COMPLETE : Result.INCOMPLETE;
    }

    private void dropLongBuffer() {
        buffer = null;
        if (joined.length > MAX_RETAINED_BYTES) {
            joined = EMPTY;
        }
    }

    /** Returns the bytes that are held for an object of several lines. */
    public int heldBytes() {
        return joined.length;
    }

    private void scan(byte b) {
        if (inString) {
            if (escaped) {
                escaped = false;
            } else if (b == '\\') {
                escaped = true;
            } else if (b == '"') {
                inString = false;
            }
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }

    private void append(byte[] line, int from, int size) {
        if (length + size + 1 > maxBytes) {
            throw new InvalidInputException("a list is too long");
        }
        if (joined.length < length + size + 1) {
            joined = Arrays.copyOf(joined, Math.min(maxBytes, 2 * (length + size + 1)));
        }
        System.arraycopy(line, from, joined, length, size);
        joined[length + size] = '\n';
        length += size + 1;
    }

    /** Returns the buffer that holds the complete object, {@link #length} bytes from {@link #offset}. */
    public byte[] buffer() {
        return buffer;
    }

    public int offset() {
        return offset;
    }

    public int length() {
        return length;
    }
}
