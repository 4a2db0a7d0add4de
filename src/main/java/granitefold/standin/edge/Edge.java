package granitefold.standin.edge;

/**
 * One way that two parties talk: who opens it, and who is meant.
 *
 * @param from who opens connections, or sends datagrams
 * @param to who is reached
 */
public record Edge(Kind kind, String from, String to) {

    /** What travels on an edge. */
    public enum Kind {
        /** Clients to a dispatcher, by the front. */
        CLIENT,
        /** A dispatcher to a cocinero. */
        PEER,
        /** A dispatcher to its discovery agent. */
        DISCOVERY,
        /** A dispatcher to another, by datagram. */
        SIBLING,
        /** A rollout's controller to a dispatcher's keeper. */
        CONTROL
    }

    /** Whether the edge joins a party of one group with one of the other. */
    public boolean connects(java.util.Collection<String> a, java.util.Collection<String> b) {
        return a.contains(from) && b.contains(to) || b.contains(from) && a.contains(to);
    }

    @Override
    public String toString() {
        return from + ">" + to;
    }
}
