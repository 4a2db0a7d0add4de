package granitefold.rollout;

/** What a rollout asks for, to be done in this order. */
public sealed interface RolloutAction {

    /** Keep this before anything that follows is done. */
    record Keep(Progress progress) implements RolloutAction { }

    /** Tell a keeper to run a version. The same order may be given again: it is carried out once. */
    record Give(String dispatcher, Order order, Version version) implements RolloutAction { }

    /** Write it to the log. */
    record Say(String what) implements RolloutAction { }
}
