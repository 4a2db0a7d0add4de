package granitefold.rollout;

/** What a keeper hears. Processes go by the numbers of their lives. */
public sealed interface SupervisorEvent {

    /** It begins, or comes back; {@code alive}: the process that served still runs, and no other one of ours does. */
    record Startup(boolean alive) implements SupervisorEvent { }

    /** An order has come. */
    record OrderReceived(Order order, Version version) implements SupervisorEvent { }

    /** A process says that it serves. */
    record Ready(long incarnation) implements SupervisorEvent { }

    /** A process has ended, or could not be started. */
    record Exited(long incarnation, String how) implements SupervisorEvent { }

    /** Time has passed. */
    record Tick() implements SupervisorEvent { }
}
