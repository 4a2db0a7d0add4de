package granitefold.figures;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the outcomes of jobs and the attempts sent to workers. A reply counts once its last byte is written; a reply to a
 * client that disconnects before that does not count.
 */
public final class MetricsCollector {
    /** How a job ended for its client. */
    public enum ReplyOutcome { SUCCESS, OVERLOAD, ERROR }

    private record PendingReply(int jobClass, ReplyOutcome outcome) { }

    private final MetricsSnapshot.Replies[] replies;
    /** Replies that are being written, by client connection; a connection has at most one. */
    private final Map<Long, PendingReply> pendingReplies = new HashMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private final Map<String, Long> invalidRequests = new TreeMap<>();
    private final Map<String, Long> closedClients = new TreeMap<>();
    private long dispatches;

    /** Creates a collector for the given number of job classes. */
    public MetricsCollector(int classCount) {
        replies = new MetricsSnapshot.Replies[classCount];
        Arrays.fill(replies, MetricsSnapshot.Replies.NONE);
    }

    /** Records that the final answer of a job is being written to a client connection. */
    public void replyStarted(long client, int jobClass, ReplyOutcome outcome) {
        pendingReplies.put(client, new PendingReply(jobClass, outcome));
    }

    /** Counts the reply to the client whose last byte is now written. */
    public void replyWritten(long client) {
        PendingReply reply = pendingReplies.remove(client);
        if (reply != null) {
            replies[reply.jobClass()] = replies[reply.jobClass()].plus(reply.outcome());
        }
    }

    /** Counts a rejected job by the name of its reason. */
    public void refused(String reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    /** Counts a request that was answered with an error before it became a job. */
    public void invalidRequest(int status) {
        invalidRequests.merge(Integer.toString(status), 1L, Long::sum);
    }

    /** Drops the pending reply of a closed client connection, and counts the close by the name of its reason. */
    public void clientClosed(long client, String reason) {
        pendingReplies.remove(client);
        closedClients.merge(reason, 1L, Long::sum);
    }

    /** Counts an attempt whose request was written completely. */
    public void attemptDispatched() {
        dispatches++;
    }

    /** Returns the metrics now, completed by what others count: requests without an answer, client connections by state, and workers. */
    public MetricsSnapshot snapshot(int unanswered, Map<String, Long> clientStates, int targets, int targetsDisabled, boolean ready) {
        return new MetricsSnapshot(List.of(replies), dispatches, unanswered + pendingReplies.size(), targets, targetsDisabled,
                Map.copyOf(refusals), Map.copyOf(invalidRequests), Map.copyOf(closedClients), clientStates,
                ClientInput.NONE, MemoryUse.NONE, LoopUse.NONE, ready);
    }
}
