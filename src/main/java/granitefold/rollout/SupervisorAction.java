package granitefold.rollout;

/** What a keeper's machine asks for, to be done in this order. */
public sealed interface SupervisorAction {

    /** Keep this before anything that follows is done. */
    record Persist(SupervisorRecord record) implements SupervisorAction { }

    /** Start a process. */
    record Start(long incarnation, Version version) implements SupervisorAction { }

    /** Tell a process to end in order. */
    record Terminate(long incarnation) implements SupervisorAction { }

    /** End a process at once. */
    record Kill(long incarnation) implements SupervisorAction { }

    /** Write it to the log. */
    record Log(String what) implements SupervisorAction { }
}
