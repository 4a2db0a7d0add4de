package granitefold.rollout;

/** What a rollout hears. */
public sealed interface RolloutEvent {

    /** It is to begin, or to go on with what was kept. */
    record Startup() implements RolloutEvent { }

    /** A keeper has answered. */
    record StatusReceived(String dispatcher, SupervisorStatus status) implements RolloutEvent { }

    /** A keeper has refused an order since it has seen a later one. */
    record OrderRefused(String dispatcher, Order seen) implements RolloutEvent { }

    /** All that could be asked was asked: time to look. */
    record Tick() implements RolloutEvent { }

    /** An operator's word. */
    record OperatorRequested(OperatorCommand command) implements RolloutEvent { }

    /** What operators may say. */
    enum OperatorCommand {
        /** Give no further orders and judge nothing until told to go on. */
        PAUSE,
        /** Go on: after a pause, or look again, or try a step again. */
        RESUME,
        /** Go on to the next stage though new and old were not told apart. */
        PASS,
        /** Stay as it is, for good. */
        STOP,
        /** All back to the old version. */
        BACK
    }
}
