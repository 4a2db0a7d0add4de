package granitefold.rollout;

/** What a keeper hears. Processes go by the numbers of their lives. */
public sealed interface KeeperEvent {

    /** It begins, or comes back; {@code alive}: the process that served still runs, and no other one of ours does. */
    record Begin(boolean alive) implements KeeperEvent { }

    /** An order has come. */
    record Ordered(Order order, Version version) implements KeeperEvent { }

    /** A process says that it serves. */
    record Serves(long life) implements KeeperEvent { }

    /** A process has ended, or could not be started. */
    record Exited(long life, String how) implements KeeperEvent { }

    /** Time has passed. */
    record Tick() implements KeeperEvent { }
}
