package granitefold.rollout;

import java.util.List;
import java.util.Map;

/**
 * How far a rollout has come: all that a controller has to know to go on with it. It is kept before anything is done about it.
 *
 * @param order the last order that was given, or is about to be
 * @param stage the stage that is in hand, from 0
 * @param steps steps of it that are still to be done; the first one may be on its way
 * @param fresh dispatchers that were told to run the new version, whether or not they do already
 * @param controls old ones that were started anew for this stage
 * @param verdict what was last found
 * @param paused an operator holds it
 * @param log what was decided and why, the oldest first
 */
public record Progress(String plan, State state, Order order, int stage, List<Step> steps, List<String> fresh, List<String> controls,
        String verdict, boolean paused, List<String> log) {

    /** Where a rollout stands. */
    public enum State {
        PLANNED,
        /** A stage's dispatchers are changed, one after the other. */
        CHANGING,
        /** New and old are compared. */
        LOOKING,
        /** It was looked at for as long as it may be, or a step could not be done: an operator has to say what next. */
        HELD,
        /** All new ones go back to the old version. */
        RETURNING,
        /** All run the new version. */
        DONE,
        /** A stage did worse, or an operator said so: it stays where it is. */
        STOPPED,
        /** All run the old version again. */
        RETURNED,
        /** A later rollout has been seen: this one gives no orders any more. */
        OVERTAKEN;

        /** Nothing follows. */
        public boolean terminal() {
            return compareTo(DONE) >= 0;
        }
    }

    /** A dispatcher's change; {@code fresh}: to the new version, else to the old one. */
    public record Step(String dispatcher, boolean fresh) { }

    /** Which version a dispatcher is to run. */
    public Map<String, Boolean> wanted(List<String> dispatchers) {
        Map<String, Boolean> all = new java.util.LinkedHashMap<>();
        dispatchers.forEach(d -> all.put(d, fresh.contains(d)));
        return all;
    }
}
