package granitefold.net;

import granitefold.figures.MemoryUse;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import java.util.EnumMap;
import java.util.Map;

/**
 * Accounts for what remote ends make the process hold, in bytes of heap, and decides whether more may be held. Everything whose size
 * a remote end chooses is counted here; what each connection takes in any case is bounded by the number of connections.
 */
final class HeldMemory {
    /** What memory is held for. */
    enum Use {
        /** Heads, bodies and read-ahead input of requests, until the request is answered. */
        REQUEST,
        /** Answers until they are written: these are owed, and always held. */
        ANSWER,
        /** Incomplete lines of workers' responses. */
        RESPONSE_LINE,
        /** Lists of discovery, until they are applied. */
        WORKER_LIST
    }

    /** Requests may take one part in this many of the heap; all uses together twice as much, and the rest is for copies in transit. */
    private static final long REQUEST_HEAP_DIVISOR = 5;
    /** Lines of workers, and lists, may take one part in this many even where the other uses take more than their share. */
    private static final long GUARANTEED_HEAP_DIVISOR = 8;
    /** The share of the memory for requests that is kept free for those to come. */
    private static final double FREE_SHARE = 0.25;

    private final long maxBytesForRequests;
    private final long maxBytes;
    private final long guaranteedBytes;
    private final Map<Use, Long> heldBytes = new EnumMap<>(Use.class);
    private long totalBytes;
    private long peakBytes;
    private long refused;

    /** @param heapBytes the maximum size of the heap */
    HeldMemory(long heapBytes) {
        maxBytesForRequests = heapBytes / REQUEST_HEAP_DIVISOR;
        maxBytes = 2 * maxBytesForRequests;
        guaranteedBytes = heapBytes / GUARANTEED_HEAP_DIVISOR;
        for (Use use : Use.values()) {
            heldBytes.put(use, 0L);
        }
    }

    /** Reserves memory, or releases it if {@code bytes} is negative; returns false, and reserves nothing, if the limit is reached. */
    boolean reserve(Use use, int bytes) {
        if (bytes > 0 && !fits(use, bytes)) {
            refused++;
            EventLog.log(LogEvent.MEMORY_REFUSED, use, bytes, totalBytes, maxBytes);
            return false;
        }
        hold(use, bytes);
        return true;
    }

    private boolean fits(Use use, int bytes) {
        boolean fitsTotal = totalBytes + bytes <= maxBytes;
        long held = heldBytes.get(use) + bytes;
        return switch (use) {
            case REQUEST -> fitsTotal && held <= maxBytesForRequests;
            case RESPONSE_LINE, WORKER_LIST -> fitsTotal || held <= guaranteedBytes;
            case ANSWER -> true;
        };
    }

    /** Returns whether the memory for requests is nearly used up. */
    boolean isLow() {
        return heldBytes.get(Use.REQUEST) > (1 - FREE_SHARE) * maxBytesForRequests || totalBytes > maxBytes - FREE_SHARE * maxBytesForRequests;
    }

    /** Counts memory that is held in any case, or no longer held if {@code bytes} is negative. */
    void hold(Use use, int bytes) {
        long held = heldBytes.merge(use, (long) bytes, Long::sum);
        if (held < 0) {
            // more was released than reserved: without a correction the limit would no longer hold
            EventLog.log(LogEvent.RULE_BROKEN, "MEMORY_ACCOUNT", use + " at " + held + " bytes");
            heldBytes.put(use, 0L);
            totalBytes -= held;
        }
        totalBytes += bytes;
        peakBytes = Math.max(peakBytes, totalBytes);
    }

    /** Returns what is held now, for the metrics. */
    MemoryUse snapshot() {
        return new MemoryUse(heldBytes.get(Use.REQUEST), heldBytes.get(Use.ANSWER), heldBytes.get(Use.RESPONSE_LINE),
                heldBytes.get(Use.WORKER_LIST), peakBytes, maxBytes, refused);
    }
}
