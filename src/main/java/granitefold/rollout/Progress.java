package granitefold.rollout;

import java.util.List;
import java.util.Map;

/**
 * Persistent state of a rollout: all that a controller needs to continue it. Saved before the actions that follow from it, as JSON under
 * the names of the components.
 *
 * @param order the order that was sent last or is about to be sent
 * @param stage index of the present stage, from 0
 * @param steps remaining steps of the stage; the order of the first one may have been sent
 * @param fresh dispatchers that were ordered to run the new version, whether or not they do yet
 * @param controls dispatchers on the old version that are restarted in this stage as a control group
 * @param verdict reason of the latest state change, empty for none
 * @param paused whether an operator has paused the rollout
 * @param log decisions and their reasons, oldest first
 */
public record Progress(String plan, State state, Order order, int stage, List<Step> steps, List<String> fresh, List<String> controls,
        String verdict, boolean paused, List<String> log) {

    /** Phase of a rollout. */
    public enum State {
        PLANNED,
        /** The stage's dispatchers are being changed, one after the other. */
        CHANGING,
        /** The new and the old version are being compared. */
        LOOKING,
        /** The comparison was inconclusive within its time limit, or a step failed: an operator has to decide. */
        HELD,
        /** All dispatchers on the new version are being rolled back. */
        RETURNING,
        /** All dispatchers run the new version. */
        DONE,
        /** Ended after a worse stage or by an operator; dispatchers keep their present versions. */
        STOPPED,
        /** All dispatchers run the old version again. */
        RETURNED,
        /** A supervisor has seen an order of a later rollout; this one sends no more orders. */
        OVERTAKEN;

        /** Returns whether the rollout has ended. */
        public boolean terminal() {
            return compareTo(DONE) >= 0;
        }
    }

    /** Change of one dispatcher; {@code fresh}: to the new version, otherwise to the old one. */
    public record Step(String dispatcher, boolean fresh) { }

    /** Returns for each dispatcher whether it is to run the new version. */
    public Map<String, Boolean> wanted(List<String> dispatchers) {
        Map<String, Boolean> all = new java.util.LinkedHashMap<>();
        dispatchers.forEach(d -> all.put(d, fresh.contains(d)));
        return all;
    }
}
