package granitefold.rollout;

/** Input of a {@link Rollout}. */
public sealed interface RolloutEvent {

    /** The controller has started: the rollout begins or continues from its saved progress. */
    record Startup() implements RolloutEvent { }

    /** A supervisor has reported its status. */
    record StatusReceived(String dispatcher, SupervisorStatus status) implements RolloutEvent { }

    /** A supervisor has refused an order because it has seen a later one. */
    record OrderRefused(String dispatcher, Order seen) implements RolloutEvent { }

    /** Periodic timer, after the supervisors have been polled. */
    record Tick() implements RolloutEvent { }

    /** An operator has issued a command. */
    record OperatorRequested(OperatorCommand command) implements RolloutEvent { }

    /** Commands of operators; their names are the sub-commands in upper case. */
    enum OperatorCommand {
        /** Send no further orders and evaluate nothing until resumed. */
        PAUSE,
        /** Continue after a pause, repeat a comparison, or retry a failed step. */
        RESUME,
        /** Proceed to the next stage although the comparison was inconclusive. */
        PASS,
        /** End the rollout and leave every dispatcher on its present version. */
        STOP,
        /** Roll all dispatchers back to the old version. */
        BACK
    }
}
