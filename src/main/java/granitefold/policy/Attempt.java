package granitefold.policy;

import granitefold.Dispatcher;

/** One send of a job to a worker. */
final class Attempt {
    final Job job;
    final TrackedWorker worker;
    final long sentAt;
    /** Whether the worker was expected to have a slot free at the send. */
    final boolean slotExpectedFree;
    /** Number of keys sent to the worker since this job's key, and the expected time of its fetch. */
    final int keysSince;
    final double fetchUs;
    /** Expected start time. */
    final long expectedStartAt;
    /** Wait by the load known on the worker at the send. */
    final double knownWaitUs;
    /** Last signal, the send included, and the time from which the next one is overdue. */
    long lastSignalAt;
    long signalDueAt;
    long startedAt;
    double progress;
    /** Whether an attempt sent later, of a job no smaller, has started before this one. */
    boolean overtaken;
    Dispatcher.Outcome outcome;

    Attempt(Job job, TrackedWorker worker, long sentAt, double waitUs, double fetchUs) {
        this.job = job;
        this.worker = worker;
        this.sentAt = sentAt;
        slotExpectedFree = waitUs == 0;
        this.fetchUs = fetchUs;
        keysSince = worker.keysSince(job.key);
        expectedStartAt = sentAt + (long) waitUs;
        knownWaitUs = worker.knownWaitUs;
    }

    /** Returns whether the attempt is open, or ended without proof that it never ran. */
    boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan();
    }
}
