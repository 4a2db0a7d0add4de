package granitefold.net;

import java.util.function.IntPredicate;

/** Accounts for the heap that one request takes, from its first byte until its answer is written. */
final class RequestMemory {
    /** What a usual request takes is part of what each connection takes in any case: it needs no room beside large ones. */
    static final int UNCOUNTED_BYTES = 8192;

    /** Reserves memory for a number of bytes, or releases it if negative; returns false if the limit is reached. */
    private final IntPredicate reserveBytes;
    private int usedBytes;
    private int reservedBytes;

    RequestMemory(IntPredicate reserveBytes) {
        this.reserveBytes = reserveBytes;
    }

    /** Adds memory that the request takes, or takes no longer if {@code bytes} is negative; returns false if the limit is reached. */
    boolean add(int bytes) {
        int additional = Math.max(0, usedBytes + bytes - UNCOUNTED_BYTES) - reservedBytes;
        if (!reserveBytes.test(additional)) {
            return false;
        }
        usedBytes += bytes;
        reservedBytes += additional;
        return true;
    }

    /** Returns what is reserved, in bytes. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** Releases all of it. */
    void release() {
        add(-usedBytes);
    }
}
