package granitefold.net;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** The body of a request while it is received; its memory is reserved before it is allocated. */
final class RequestBody {
    private static final int MIN_CAPACITY_BYTES = 512;

    private final RequestMemory memory;
    private final int maxBytes;
    private byte[] bytes = {};
    private int length;

    /** @param maxBytes the length of the body if it is known, else the longest that it may have */
    RequestBody(RequestMemory memory, int maxBytes) {
        this.memory = memory;
        this.maxBytes = maxBytes;
    }

    /** Returns whether this much more is within the limit. */
    boolean hasRoomFor(int count) {
        return length + count <= maxBytes;
    }

    /** Consumes a part of the body that it has room for; returns false if there is no memory for it. */
    boolean append(ByteBuffer part) {
        int needed = length + part.remaining();
        if (needed > bytes.length) {
            int capacity = Math.max(needed, Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, 2 * bytes.length)));
            if (!memory.add(capacity - bytes.length)) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, capacity);
        }
        int count = part.remaining();
        part.get(bytes, length, count);
        length += count;
        return true;
    }

    /** Returns the complete body. */
    byte[] complete() {
        if (length < bytes.length) {
            memory.add(length - bytes.length);
            bytes = Arrays.copyOf(bytes, length);
        }
        return bytes;
    }
}
