package granitefold.standin.edge;

/**
 * A directed communication path between two parties.
 *
 * @param from the party that opens connections or sends datagrams
 * @param to the party that is connected to
 */
public record Edge(Kind kind, String from, String to) {

    /** The traffic that an edge carries. */
    public enum Kind {
        /** Clients to a dispatcher, through the load balancer. */
        CLIENT,
        /** A dispatcher to a worker. */
        PEER,
        /** A dispatcher to its discovery agent. */
        DISCOVERY,
        /** A dispatcher to a sibling, by datagram. */
        SIBLING,
        /** A rollout's controller to the keeper of a dispatcher. */
        CONTROL
    }

    /** Returns whether the edge connects a party of one group with a party of the other, in either direction. */
    public boolean connects(java.util.Collection<String> firstGroup, java.util.Collection<String> secondGroup) {
        return firstGroup.contains(from) && secondGroup.contains(to) || secondGroup.contains(from) && firstGroup.contains(to);
    }

    @Override
    public String toString() {
        return from + ">" + to;
    }
}
