package granitefold.rollout;

/** What a keeper's machine asks for, to be done in this order. */
public sealed interface KeeperAction {

    /** Keep this before anything that follows is done. */
    record Keep(KeeperRecord record) implements KeeperAction { }

    /** Start a process. */
    record Start(long life, Version version) implements KeeperAction { }

    /** Tell a process to end in order. */
    record End(long life) implements KeeperAction { }

    /** End a process at once. */
    record Kill(long life) implements KeeperAction { }

    /** Write it to the log. */
    record Say(String what) implements KeeperAction { }
}
