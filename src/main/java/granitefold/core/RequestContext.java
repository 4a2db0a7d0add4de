package granitefold.core;

import java.util.ArrayList;
import java.util.List;

/** A request that was taken in and is owed one final answer. */
final class RequestContext {
    /** The module's id of it: our own count, since those ids are bounded and never repeat. */
    final long id;
    final long client;
    final Submission submission;
    /** When the client gives up, and the earlier time by which the module and its attempts are to be done. */
    final long deadline;
    final long moduleDeadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Answers it shortly before its deadline, whatever keeps the module. */
    Timers.Timer timer;
    boolean finished;

    RequestContext(long id, long client, Submission submission, long deadline, long moduleDeadline) {
        this.id = id;
        this.client = client;
        this.submission = submission;
        this.deadline = deadline;
        this.moduleDeadline = moduleDeadline;
    }

    /** No attempt is out, and none ended without proof that it never ran. */
    boolean neverRan() {
        return attempts.stream().allMatch(t -> t.outcome != null && t.outcome.neverRan());
    }
}
