package granitefold.net;

/**
 * What the remote end of an outbound connection may send, in bytes.
 *
 * @param lineBytes the longest line of a body
 * @param turnBytes what is read before other connections get their turn
 * @param bodyBytes the longest body, whatever its status and without the framing of its chunks
 */
record ResponseLimits(int lineBytes, int turnBytes, long bodyBytes) {
    /** For a response that goes on for as long as the connection does. */
    static final long UNLIMITED = Long.MAX_VALUE;
}
