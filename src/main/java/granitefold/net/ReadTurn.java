package granitefold.net;

/**
 * Limits what one connection processes before other connections and the timers of the loop get their turn. A loop that reads
 * until the socket is empty ends only when the remote end wants it to: one that sends faster than its input is parsed would
 * keep everybody else waiting.
 */
final class ReadTurn extends FairQueue.Flow {
    static final int MAX_BYTES = 16 * 1024;
    /** The maximum of requests or lines: a short one costs more than its bytes do. */
    private static final int MAX_MESSAGES = 16;

    private final TurnScheduler scheduler;
    private final TurnScheduler.Priority priority;
    private final int maxBytes;
    private final Runnable read;
    private long startNs;
    private long maxNs;
    private int bytes;
    private int messages;
    private int maxMessages;
    private boolean unfinished;

    /**
     * @param maxBytes the number of bytes that a connection may process in one turn
     * @param read reads and processes input until {@link #isOver}, or until there is none
     */
    ReadTurn(TurnScheduler scheduler, TurnScheduler.Priority priority, int maxBytes, Runnable read) {
        this.scheduler = scheduler;
        this.priority = priority;
        this.maxBytes = maxBytes;
        this.read = read;
    }

    TurnScheduler.Priority priority() {
        return priority;
    }

    /** Waits for a turn, since there may be input. */
    void request() {
        scheduler.request(this);
    }

    /** Gives up the turn that it waits for, and what was left of the last one. */
    void cancel() {
        unfinished = false;
        scheduler.cancel(this);
    }

    /** Reads for a limited time; called by the scheduler. */
    void run(long limitNs) {
        read(MAX_MESSAGES, limitNs);
    }

    /** Reads without waiting, and no more than one message. */
    void runNow() {
        read(1, Long.MAX_VALUE);
        if (unfinished) {
            request();
        } else {
            cancel();
        }
    }

    private void read(int messageLimit, long limitNs) {
        startNs = System.nanoTime();
        maxNs = limitNs;
        maxMessages = messageLimit;
        bytes = 0;
        messages = 0;
        unfinished = false;
        read.run();
    }

    void addBytes(int count) {
        bytes += count;
    }

    void addMessage() {
        messages++;
    }

    /** Returns how many more bytes may be processed in this turn. */
    int remainingBytes() {
        return Math.max(0, maxBytes - bytes);
    }

    /** Returns whether the connection has to stop reading and let others run. */
    boolean isOver() {
        return bytes >= maxBytes || messages >= maxMessages || (bytes > 0 || messages > 0) && System.nanoTime() - startNs >= maxNs;
    }

    /** Ends the turn before the input: another turn follows. */
    void endUnfinished() {
        unfinished = true;
    }

    /** Returns whether the last turn ended before the input did. */
    boolean isUnfinished() {
        return unfinished;
    }
}
