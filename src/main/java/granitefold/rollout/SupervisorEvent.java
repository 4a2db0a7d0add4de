package granitefold.rollout;

/** Input of a {@link Supervisor}. {@code incarnation}: number of a process, counted from 1 over all processes of the dispatcher. */
public sealed interface SupervisorEvent {

    /** The supervisor has started. {@code alive}: the process that served before is still running, and no other one is. */
    record Startup(boolean alive) implements SupervisorEvent { }

    /** An order has arrived. */
    record OrderReceived(Order order, Version version) implements SupervisorEvent { }

    /** A process reports that it is ready to serve. */
    record Ready(long incarnation) implements SupervisorEvent { }

    /** A process has exited, or could not be started. */
    record Exited(long incarnation, String reason) implements SupervisorEvent { }

    /** Periodic timer. */
    record Tick() implements SupervisorEvent { }
}
