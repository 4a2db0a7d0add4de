package granitefold.standin.history;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One recorded event. Components that do not apply are null or 0.
 *
 * @param atUs the time, in microseconds on the common clock of the test bed
 * @param what the kind of event
 * @param who the observer or the actor
 * @param whom the other party: the dispatcher for entries of clients and workers, the worker for entries of discovery agents
 * @param txn the request's id
 * @param key its idempotency key, if its class has one
 * @param jobClass its job class
 * @param tenant its tenant
 * @param conn the connection, by the opener's address as the receiver sees it
 * @param number a status, a time or a count, see {@link What}
 * @param text see {@link What}
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Entry(long atUs, What what, String who, String whom, String txn, String key, String jobClass, String tenant,
        String conn, long number, String text) {

    /** Kinds of entries. */
    public enum What {
        /** A client sends a request on connection {@code conn}; number: its deadline in milliseconds. */
        ASKED,
        /** A client has read a whole answer; number: status; text: {@code made} or {@code other} for a 200, otherwise its Retry-After. */
        ANSWERED,
        /** The connection ended before the first byte of an answer; text: {@code new} if it had carried no request before. */
        UNHEARD,
        /** The answer was truncated. */
        CUT,
        /** No answer arrived within the client's waiting time. */
        SILENT,
        /** The client disconnected before its deadline. */
        LEFT,
        /** Unexpected bytes arrived on an idle connection. */
        EXTRA,
        /** No dispatcher accepted a connection. */
        REFUSED,
        /** A worker has read a whole attempt; number: the remaining time in milliseconds that the attempt states. */
        BEGUN,
        /** The worker has started the job; text: {@code repeat} if it only repeats the result of an earlier job with the same key. */
        STARTED,
        /** The worker has written the last line of its answer, or has turned the attempt away; text: the final state. */
        ENDED,
        /** A relay forwarded bytes of client connection {@code conn} to a dispatcher. */
        FORWARDED,
        /** A relay forwarded the client's close of connection {@code conn} to a dispatcher. */
        CLOSE_FORWARDED,
        /** A dispatcher sent bytes on a connection to a worker; number: how much earlier it may have sent them, in microseconds. */
        SENT,
        /** A dispatcher closed a connection to a worker. */
        CLOSED,
        /** A discovery agent notified a dispatcher of a worker's state; text: the state. */
        TOLD,
        /** A worker's state changed in discovery, whether or not a dispatcher is notified; text: the state. */
        CHANGED,
        /** A worker failed because it was overloaded during slow start. */
        FELL,
        /**
         * A change of a process; text: started, ready, killed, gone (all processes of a killed dispatcher with a keeper have exited),
         * stopped, continued, terminated or exited; or a finding that begins with crashed, exceeds, not ready, reports or ended by the kill.
         */
        PROCESS,
        /**
         * The test bed itself was delayed, or a dispatcher's event loop was ready to run and got no processor; number: microseconds;
         * text: for a dispatcher, the length of the interval, in microseconds, that ends now and in which the wait ended.
         */
        LATE,
        /** A fault began, or ended; text: the fault, or {@code none}. */
        FAULT
    }

    /** Creates an entry about a process or an edge. */
    public static Entry of(long atUs, What what, String who, String text) {
        return new Entry(atUs, what, who, null, null, null, null, null, null, 0, text);
    }
}
