package granitefold.core;

/** A worker's report on the attempt that a connection carries. All but the first two end the attempt. */
public sealed interface AttemptUpdate {

    /** The job has started. */
    record Started() implements AttemptUpdate { }

    /** The job has completed a share of its work. */
    record Progressed(double share) implements AttemptUpdate { }

    /** The job is done. */
    record Served(byte[] result) implements AttemptUpdate { }

    /** The worker reports an error: the job may have run. */
    record Failed() implements AttemptUpdate { }

    /** The worker rejected the job or returned it unstarted: it never ran. */
    record Returned() implements AttemptUpdate { }

    /** The job was killed, or the answer ended before its last line: the job may have run. */
    record Lost() implements AttemptUpdate { }
}
