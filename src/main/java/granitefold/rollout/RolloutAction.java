package granitefold.rollout;

/** What a rollout asks for, to be done in this order. */
public sealed interface RolloutAction {

    /** Keep this before anything that follows is done. */
    record Persist(Progress progress) implements RolloutAction { }

    /** Tell a keeper to run a version. The same order may be given again: it is carried out once. */
    record SendOrder(String dispatcher, Order order, Version version) implements RolloutAction { }

    /** Write it to the log. */
    record Log(String what) implements RolloutAction { }
}
