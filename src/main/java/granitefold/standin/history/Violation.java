package granitefold.standin.history;

import java.util.List;

/**
 * A violation of a rule.
 *
 * @param atUs its time, in microseconds
 * @param what a description in one sentence
 * @param trace the entries that prove it, in the order of time
 */
public record Violation(Rule rule, long atUs, String what, List<Entry> trace) {

    /** The rules, each named after its violation. */
    public enum Rule {
        /** An accepted request received no final answer in time. */
        LOST,
        /** A request received more than one answer. */
        ANSWERED_TWICE,
        /** An answer with status 200 has a body that no worker produced for this request. */
        MADE_UP,
        /** Two attempts of one request were in flight at the same time. */
        TWO_OUT,
        /** A request was resent although its class does not allow it. */
        RESENT,
        /** A keyed job was started twice within its deduplication window. */
        RAN_TWICE,
        /** A job was sent to a worker after the dispatcher was notified of its drain, or is deemed to have been. */
        DRAIN,
        /** An attempt stated more remaining time than its client had. */
        OVERSTATED,
        /** An attempt was sent for a client that had disconnected. */
        GONE,
        /** A worker in slow start failed under overload. */
        COLD,
        /** A tenant exceeded its quota while another one was rejected within its own. */
        QUOTA,
        /** A reject was delayed until shortly before the client's deadline. */
        DELAYED,
        /** A reject has no Retry-After. */
        NO_RETRY_AFTER,
        /** A dispatcher's log reports a rule violation or an internal error. */
        SELF_REPORTED,
        /** A dispatcher process exited without being terminated or killed by the test bed. */
        CRASHED,
        /** A dispatcher process was larger than its memory limit. */
        OVER_MEMORY,
        /** More than one in ten restarted processes took over 10 s to become ready. */
        SLOW_START
    }

    @Override
    public String toString() {
        return rule + " at " + atUs / 1000 + " ms: " + what;
    }
}
