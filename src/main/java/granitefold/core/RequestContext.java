package granitefold.core;

import java.util.ArrayList;
import java.util.List;

/** An accepted request, which is owed one final answer. */
final class RequestContext {
    /** The module's id of the request: a counter of the core, since those ids must be bounded and unique. */
    final long id;
    final long client;
    /** Without its payload once the request is finished: an attempt that goes on for a gone client must not hold the body. */
    private Submission submission;
    /** When the client gives up, and the earlier deadline for the module and its attempts. */
    final long deadline;
    final long moduleDeadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Answers the request shortly before its deadline if the module has not. */
    Timers.Timer timer;
    private boolean finished;

    RequestContext(long id, long client, Submission submission, long deadline, long moduleDeadline) {
        this.id = id;
        this.client = client;
        this.submission = submission;
        this.deadline = deadline;
        this.moduleDeadline = moduleDeadline;
    }

    Submission submission() {
        return submission;
    }

    /** Returns whether it has its final answer, or needs none. */
    boolean finished() {
        return finished;
    }

    /** Records that nothing is owed any more, so that nothing is sent again. */
    void finish() {
        finished = true;
        submission = submission.withoutPayload();
    }

    /** Returns whether no attempt is running, and all ended ones are known never to have run. */
    boolean neverRan() {
        return attempts.stream().allMatch(t -> t.outcome != null && t.outcome.neverRan());
    }
}
