package granitefold.net;

/**
 * Counts the memory that clients and workers take up with what they send and that is held until it is processed, in bytes. Lines of
 * workers may use more than bodies of requests: whatever the clients send, the results of their jobs still fit.
 */
final class HeldMemory {
    /** Request bodies may be held while all together takes at most one part in this many of the heap, which also holds copies in transit. */
    private static final long BODY_HEAP_DIVISOR = 5;

    private final long maxBytesForBodies;
    private final long maxBytes;
    private long heldBytes;

    /** @param heapBytes the maximum size of the heap */
    HeldMemory(long heapBytes) {
        maxBytesForBodies = heapBytes / BODY_HEAP_DIVISOR;
        maxBytes = 2 * maxBytesForBodies;
    }

    /** Reserves memory for a request, or releases it if {@code bytes} is negative; returns false if the limit is reached. */
    boolean reserveForBody(int bytes) {
        return reserve(bytes, maxBytesForBodies);
    }

    /** Reserves memory for a line of a response, or releases it if {@code bytes} is negative; returns false if the limit is reached. */
    boolean reserveForLine(int bytes) {
        return reserve(bytes, maxBytes);
    }

    private boolean reserve(int bytes, long limit) {
        if (bytes > 0 && heldBytes + bytes > limit) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }
}
