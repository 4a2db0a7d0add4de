package granitefold.net;

import granitefold.core.Event;
import java.util.function.Consumer;

/**
 * Reports to the reducer how far a client's current request has arrived. Whether there is something to report depends on what was parsed, not
 * on new input: a part of a request may have been read ahead of the answer before it, or in an earlier turn, with nothing more to come.
 */
final class PartialRequestReporter {
    private final Consumer<Event> reducer;
    private final long client;
    /** Whether the reducer knows that the request has begun; the first one on a connection begins with the connection. */
    private boolean started = true;
    private boolean parsedSinceReport;

    /** @param client the number of the client connection */
    PartialRequestReporter(Consumer<Event> reducer, long client) {
        this.reducer = reducer;
        this.client = client;
    }

    /** Some bytes of the current request were parsed. */
    void parsed(int bytes) {
        parsedSinceReport |= bytes > 0;
    }

    /** The current request was answered: what is parsed next belongs to another one. */
    void startNext() {
        started = false;
        parsedSinceReport = false;
    }

    /** Reports a request that has arrived in part, unless nothing of it was parsed since the last report; the last byte waited for {@code unreadUs}. */
    void report(int heldBytes, long unreadUs) {
        if (parsedSinceReport) {
            reducer.accept(started ? new Event.RequestContinued(client, heldBytes, unreadUs) : new Event.RequestStarted(client, heldBytes, unreadUs));
            started = true;
            parsedSinceReport = false;
        }
    }
}
