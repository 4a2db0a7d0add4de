package granitefold.figures;

import java.util.List;
import java.util.Map;

/**
 * The metrics of one process at one moment; all counts start at 0 with the process.
 *
 * @param replies final answers by job class, in the order of the settings, each counted when its last byte is written
 * @param dispatches attempts whose request was written completely to a worker
 * @param concurrent accepted requests without a fully written answer
 * @param targets workers in the list, including those that drain
 * @param targetsDisabled number of those that get no job while others have room
 * @param refusals rejected jobs by the reason, those without any left out
 * @param invalidRequests requests answered with an error before they became jobs, by the status of the answer
 * @param closedClients closed client connections by the reason
 * @param clientStates open client connections by what the process awaits from them, those without any left out
 * @param clientInput what client connections have read and not handed on
 * @param memory what remote ends make the process hold
 * @param loop what the event loop was busy with
 * @param ready whether the process can serve: discovery has answered or the wait for it is over, and no shutdown was requested
 */
public record MetricsSnapshot(List<Replies> replies, long dispatches, int concurrent, int targets, int targetsDisabled,
        Map<String, Long> refusals, Map<String, Long> invalidRequests, Map<String, Long> closedClients, Map<String, Long> clientStates,
        ClientInput clientInput, MemoryUse memory, LoopUse loop, boolean ready) {

    /** Returns the same metrics with this input of clients, and this use of memory and of the event loop. */
    public MetricsSnapshot withResources(ClientInput input, MemoryUse memoryUse, LoopUse loopUse) {
        return new MetricsSnapshot(replies, dispatches, concurrent, targets, targetsDisabled, refusals, invalidRequests, closedClients, clientStates,
                input, memoryUse, loopUse, ready);
    }

    /** Final answers of one job class: served, rejected and failed jobs. */
    public record Replies(long success, long overload, long error) {
        static final Replies NONE = new Replies(0, 0, 0);

        Replies plus(MetricsCollector.ReplyOutcome outcome) {
            return switch (outcome) {
                case SUCCESS -> new Replies(success + 1, overload, error);
                case OVERLOAD -> new Replies(success, overload + 1, error);
                case ERROR -> new Replies(success, overload, error + 1);
            };
        }
    }
}
