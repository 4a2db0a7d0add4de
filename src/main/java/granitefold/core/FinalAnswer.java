package granitefold.core;

import granitefold.Dispatcher.Refusal;

/** The one final answer that a request context is owed. */
public sealed interface FinalAnswer {

    /** Served, with the worker's result for this request. */
    record Served(byte[] result) implements FinalAnswer { }

    /** Rejected: a retry is safe, preferably after {@code retryAfterUs} (0: no advice). */
    record Rejected(long retryAfterUs, Refusal reason) implements FinalAnswer {
        private static final long DEFAULT_RETRY_AFTER_US = 1_000_000;

        /** Creates a reject that the decision module did not decide on. */
        public static Rejected withDefaultRetry(Refusal reason) {
            return new Rejected(DEFAULT_RETRY_AFTER_US, reason);
        }
    }

    /** Not accepted: another request with the same id is still open, or has ended lately and may have run. */
    record Duplicate() implements FinalAnswer { }

    /** Failed: whether the job ran is not known. {@code late}: the client's deadline has passed. */
    record Failed(boolean late) implements FinalAnswer { }
}
