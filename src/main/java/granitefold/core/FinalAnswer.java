package granitefold.core;

import granitefold.Dispatcher.Refusal;

/** The one final answer that a request context is owed. */
public sealed interface FinalAnswer {

    /** Served, with the result that a worker made for this request. */
    record Served(byte[] result) implements FinalAnswer { }

    /** A reject: trying again does no harm, best after {@code retryAfterUs} (0: no advice). */
    record Rejected(long retryAfterUs, Refusal reason) implements FinalAnswer {
        private static final long DEFAULT_RETRY_AFTER_US = 1_000_000;

        /** For a reject that is no decision of the module's. */
        public static Rejected withDefaultRetry(Refusal reason) {
            return new Rejected(DEFAULT_RETRY_AFTER_US, reason);
        }
    }

    /** Not taken in: its id is that of a request that is still open. */
    record Duplicate() implements FinalAnswer { }

    /** Failed; promises nothing. {@code late}: the client's time ran out. */
    record Failed(boolean late) implements FinalAnswer { }
}
