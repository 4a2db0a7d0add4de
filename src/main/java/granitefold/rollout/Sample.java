package granitefold.rollout;

import java.util.Map;

/**
 * Cumulative metrics of one dispatcher process. Counters start at 0 in each process. Written as JSON under the names of the components.
 *
 * @param life number of the process; counters of two processes are not compared
 * @param classes final answers by job class
 * @param tries attempts whose request was sent completely to a worker
 * @param heldS integral of the number of unanswered requests over time, in request-seconds
 * @param watchedS seconds over which {@code heldS} was measured
 * @param rssKb resident memory of the process in kilobytes; 0 if unknown
 */
public record Sample(long life, Map<String, Counts> classes, long tries, double heldS, double watchedS, long rssKb) {

    /** Answers of one job class by outcome. */
    public record Counts(long success, long overload, long error) {
        static final Counts NONE = new Counts(0, 0, 0);

        long all() {
            return success + overload + error;
        }

        Counts minus(Counts before) {
            return new Counts(success - before.success, overload - before.overload, error - before.error);
        }

        Counts plus(Counts other) {
            return new Counts(success + other.success, overload + other.overload, error + other.error);
        }
    }
}
