package granitefold.figures;

/**
 * What the client connections of a process have read and not handed on as requests.
 *
 * @param partialRequests connections on which part of a request, but not its end, has been parsed
 * @param unparsed connections that have read input which is not parsed yet
 */
public record ClientInput(int partialRequests, int unparsed) {
    /** Of a process without client connections. */
    public static final ClientInput NONE = new ClientInput(0, 0);
}
