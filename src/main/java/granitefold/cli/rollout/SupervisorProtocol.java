package granitefold.cli.rollout;

import granitefold.rollout.SupervisorStatus;
import granitefold.rollout.Order;
import granitefold.rollout.Version;

/** Protocol between a controller and a supervisor: one connection per request, one line of JSON in each direction. */
final class SupervisorProtocol {
    /** Maximum length of a line. */
    static final int MAX_LINE_CHARS = 64 * 1024;
    /** Version of the protocol. Unknown fields are ignored, an unknown call is refused. */
    static final int PROTOCOL_VERSION = 1;

    private SupervisorProtocol() { }

    /** {@code call}: status or order. Written under the names of the components. */
    record Request(int v, String call, Order order, Version version) { }

    /** {@code refused}: reason of a refusal, or null; {@code status}: always present. Written under the names of the components. */
    record Response(int v, String name, String refused, SupervisorStatus status) { }
}
