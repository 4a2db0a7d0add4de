package granitefold.wire;

import java.util.Arrays;

/**
 * Puts the lines of a stream together to whole JSON objects: one may come indented, over many lines. It only looks for where an
 * object ends; whether it is one that makes sense is found where it is decoded.
 */
public final class JsonObjectFramer {
    /** What a line has brought. */
    public enum Result {
        /** Nothing: a sign of life. */
        BLANK,
        /** A part of an object. */
        INCOMPLETE,
        /** An object's end: it stands in {@link #buffer}. */
        COMPLETE
    }

    private final int most;
    private byte[] kept = {};
    private int length;
    private int depth;
    private boolean text;
    private boolean escaped;
    private byte[] buffer;
    private int offset;

    /** An object may be so long at the most. */
    public JsonObjectFramer(int most) {
        this.most = most;
    }

    /** Takes in one line; what it finds stands until the next. */
    public Result add(byte[] line, int from, int size) {
        if (depth == 0 && !text) {
            length = 0;
        }
        boolean begun = length > 0;
        boolean blank = true;
        for (int i = from; i < from + size; i++) {
            blank &= line[i] == ' ' || line[i] == '\t' || line[i] == '\r';
            scan(line[i]);
        }
        if (blank) {
            return begun ? Result.INCOMPLETE : Result.BLANK;
        }
        boolean whole = depth <= 0 && !text;
        if (whole && !begun) {
            buffer = line;
            offset = from;
            length = size;
        } else {
            keep(line, from, size);
            buffer = kept;
            offset = 0;
        }
        if (whole) {
            depth = 0;
        }
        return whole ? Result.COMPLETE : Result.INCOMPLETE;
    }

    private void scan(byte b) {
        if (text) {
            if (escaped) {
                escaped = false;
            } else if (b == '\\') {
                escaped = true;
            } else if (b == '"') {
                text = false;
            }
        } else if (b == '"') {
            text = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }

    private void keep(byte[] line, int from, int size) {
        if (length + size + 1 > most) {
            throw new InvalidInputException("a list is too long");
        }
        if (kept.length < length + size + 1) {
            kept = Arrays.copyOf(kept, Math.min(most, 2 * (length + size + 1)));
        }
        System.arraycopy(line, from, kept, length, size);
        kept[length + size] = '\n';
        length += size + 1;
    }

    /** The buffer that holds the whole object, from {@link #offset} on, {@link #length} bytes long. */
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
