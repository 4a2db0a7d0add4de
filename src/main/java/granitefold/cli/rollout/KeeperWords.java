package granitefold.cli.rollout;

import granitefold.rollout.KeeperStatus;
import granitefold.rollout.Order;
import granitefold.rollout.Version;

/** What goes between a controller and a keeper: a line of JSON each way, a connection each call. */
final class KeeperWords {
    /** Longest line; a longer one is a mistake. */
    static final int LINE_MOST = 64 * 1024;
    /** Version of these words. Unknown fields are skipped, an unknown call is refused by name. */
    static final int VERSION = 1;

    private KeeperWords() { }

    /** {@code call}: status or order. */
    record Call(int v, String call, Order order, Version version) { }

    /** {@code refused}: why, or null; {@code status}: how it stands, always. */
    record Answer(int v, String name, String refused, KeeperStatus status) { }
}
