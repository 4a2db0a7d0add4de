package granitefold.rollout;

/** Output of a {@link Supervisor}; actions are performed in the order they are returned. */
public sealed interface SupervisorAction {

    /** Save the record before performing the actions that follow. */
    record Persist(SupervisorRecord record) implements SupervisorAction { }

    /** Start a process. */
    record Start(long incarnation, Version version) implements SupervisorAction { }

    /** Ask a process to shut down gracefully. */
    record Terminate(long incarnation) implements SupervisorAction { }

    /** Kill a process. */
    record Kill(long incarnation) implements SupervisorAction { }

    /** Write a message to the log. */
    record Log(String message) implements SupervisorAction { }
}
