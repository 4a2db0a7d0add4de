package granitefold.net;

/**
 * Limits what one connection processes before the other connections and the timers of the loop get their turn. A loop that reads
 * until the socket is empty ends only when the remote end wants it to: one that sends faster than its input is parsed would
 * keep everybody else waiting.
 */
final class ReadTurn {
    static final int MAX_BYTES = 16 * 1024;
    /** The maximum of requests or lines: a short one costs more than its bytes do. */
    private static final int MAX_MESSAGES = 16;

    private final SelectorThread selectorThread;
    private final int maxBytes;
    private int bytes;
    private int messages;
    private boolean inputLeft;

    /** @param maxBytes the number of bytes that a connection may process in one turn */
    ReadTurn(SelectorThread selectorThread, int maxBytes) {
        this.selectorThread = selectorThread;
        this.maxBytes = maxBytes;
    }

    void begin() {
        bytes = 0;
        messages = 0;
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
        return bytes >= maxBytes || messages >= MAX_MESSAGES;
    }

    /** Ends the turn; {@code left}: there may be input that was not processed, and another turn follows. */
    void end(boolean left) {
        inputLeft = left;
        selectorThread.setUnfinished(this, left);
    }

    /** Returns whether the last turn ended before the input did. */
    boolean hasInputLeft() {
        return inputLeft;
    }
}
