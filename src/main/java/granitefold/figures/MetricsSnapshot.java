package granitefold.figures;

import java.util.List;

/**
 * The figures of one process at one moment; all counts start at 0 with the process.
 *
 * @param replies final answers by class, in the order of the settings, counted when their last byte is written
 * @param dispatches attempts whose request was written whole to a worker
 * @param concurrent requests taken that have no written answer yet
 * @param targets workers in the list, those told to drain included
 * @param targetsDisabled of them, those that no job is sent to while others have room
 * @param serves the process can serve: discovery has spoken or the wait for it is over, and no end was asked for
 */
public record MetricsSnapshot(List<Replies> replies, long dispatches, int concurrent, int targets, int targetsDisabled,
        boolean ready) {

    /** Answers of one class: jobs served, rejected, and failed. */
    public record Replies(long success, long overload, long error) {
        static final Replies NONE = new Replies(0, 0, 0);

        Replies plus(MetricsCollector.ReplyOutcome end) {
            return switch (end) {
                case SUCCESS -> new Replies(success + 1, overload, error);
                case OVERLOAD -> new Replies(success, overload + 1, error);
                case ERROR -> new Replies(success, overload, error + 1);
            };
        }
    }
}
