package granitefold.rollout;

/** Output of a {@link Rollout}; actions are performed in the order they are returned. */
public sealed interface RolloutAction {

    /** Save the progress before performing the actions that follow. */
    record Persist(Progress progress) implements RolloutAction { }

    /** Order a supervisor to run a version. An order may be sent repeatedly; the supervisor executes it once. */
    record SendOrder(String dispatcher, Order order, Version version) implements RolloutAction { }

    /** Write a message to the log. */
    record Log(String message) implements RolloutAction { }
}
