package granitefold.cli.rollout;

import granitefold.rollout.SupervisorStatus;
import granitefold.rollout.Order;
import granitefold.rollout.Version;

/** What goes between a controller and a keeper: a line of JSON each way, a connection each call. */
final class SupervisorProtocol {
    /** Longest line; a longer one is a mistake. */
    static final int MAX_LINE_CHARS = 64 * 1024;
    /** Version of these words. Unknown fields are skipped, an unknown call is refused by name. */
    static final int PROTOCOL_VERSION = 1;

    private SupervisorProtocol() { }

    /** {@code call}: status or order. */
    record Request(int v, String call, Order order, Version version) { }

    /** {@code refused}: why, or null; {@code status}: how it stands, always. */
    record Response(int v, String name, String refused, SupervisorStatus status) { }
}
