package granitefold.net;

import java.util.ArrayDeque;

/** Records when the bytes of an input stream may have arrived at the earliest, although a busy loop reads and parses them later. */
final class ArrivalTimes {
    /** The maximum of times that are kept: later bytes count as arrived with those before. */
    private static final int MAX_SEGMENTS = 32;

    /** The bytes up to an offset in the stream, from the end of the segment before. */
    private static final class Segment {
        private final long sinceNs;
        private long endOffset;

        Segment(long sinceNs, long endOffset) {
            this.sinceNs = sinceNs;
            this.endOffset = endOffset;
        }
    }

    private final ArrayDeque<Segment> segments = new ArrayDeque<>(2);
    /** The last time ({@link System#nanoTime}) at which everything that had arrived was read. */
    private long drainedNs;
    private boolean drainedOnce;
    private long receivedBytes;
    private final long openedNs;

    /** @param sinceNs nothing has arrived before this time */
    ArrivalTimes(long sinceNs) {
        drainedNs = sinceNs;
        openedNs = sinceNs;
    }

    /** Everything that had arrived at a time has been read. */
    void drained(long atNs) {
        drainedOnce = true;
        nothingUntil(atNs);
    }

    /** Nothing has arrived after the last read and until a time; has no effect before the first read, since what came with the connection is older. */
    void nothingUntil(long atNs) {
        if (drainedOnce && atNs - drainedNs > 0) {
            drainedNs = atNs;
        }
    }

    /** Bytes were read that arrived after the last {@link #drained}. */
    void received(int bytes) {
        receivedBytes += bytes;
        Segment last = segments.peekLast();
        if (last != null && (last.sinceNs == drainedNs || segments.size() == MAX_SEGMENTS)) {
            last.endOffset = receivedBytes;
        } else {
            segments.add(new Segment(drainedNs, receivedBytes));
        }
    }

    /** Returns the earliest possible arrival of the byte that was consumed last, if so many bytes are not consumed yet. */
    long lastConsumedSinceNs(int unconsumedBytes) {
        long consumedBytes = receivedBytes - unconsumedBytes;
        while (!segments.isEmpty() && segments.peekFirst().endOffset < consumedBytes) {
            segments.removeFirst();
        }
        return segments.isEmpty() ? openedNs : segments.peekFirst().sinceNs;
    }
}
