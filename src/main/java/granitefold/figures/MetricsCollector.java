package granitefold.figures;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts what becomes of jobs and attempts. An answer counts once its last byte is written; of a client that leaves
 * before that, nothing counts.
 */
public final class MetricsCollector {
    /** How a job ended for its client. */
    public enum ReplyOutcome { SUCCESS, OVERLOAD, ERROR }

    private record Answer(int jobClass, ReplyOutcome end) { }

    private final MetricsSnapshot.Replies[] replies;
    /** Answers on their way out, by client connection: each has one at a time. */
    private final Map<Long, Answer> writing = new HashMap<>();
    private long dispatches;

    /** For so many classes. */
    public MetricsCollector(int classes) {
        replies = new MetricsSnapshot.Replies[classes];
        Arrays.fill(replies, MetricsSnapshot.Replies.NONE);
    }

    /** A job of this class has its final answer, which is being written to this client connection. */
    public void replyStarted(long client, int jobClass, ReplyOutcome end) {
        writing.put(client, new Answer(jobClass, end));
    }

    /** What was being written to the client is out. */
    public void replyWritten(long client) {
        Answer a = writing.remove(client);
        if (a != null) {
            replies[a.jobClass()] = replies[a.jobClass()].plus(a.end());
        }
    }

    /** The client connection is gone. */
    public void clientClosed(long client) {
        writing.remove(client);
    }

    /** An attempt's request was written whole. */
    public void attemptDispatched() {
        dispatches++;
    }

    /** The figures now, with what others count: requests owed an answer, and workers. */
    public MetricsSnapshot snapshot(int owed, int targets, int targetsDisabled, boolean serves) {
        return new MetricsSnapshot(List.of(replies), dispatches, owed + writing.size(), targets, targetsDisabled, serves);
    }
}
