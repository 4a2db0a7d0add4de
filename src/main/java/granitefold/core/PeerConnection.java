package granitefold.core;

/** The core's record of one connection to a peer, which carries one try at a time. */
final class PeerConnection {
    enum State {
        /** Not up yet: its try never ran. */
        CONNECTING,
        /** The request's last byte is not written yet: its try never ran. */
        SENDING,
        /** The request is out: its try may run. */
        WAITING,
        /** The try has ended, the end of the answer is still to be read. */
        SETTLED,
        IDLE
    }

    final long id;
    final Peer peer;
    final String address;
    State state = State.CONNECTING;
    /** It was idle before, and nothing has come on it since. */
    boolean stale;
    /** The try that is out on it, or null. */
    Try carries;
    /** Ends the wait for the end of an answer. */
    Timers.Timer timer;
    long idleSince;

    PeerConnection(long id, Peer peer) {
        this.id = id;
        this.peer = peer;
        address = peer.address;
    }
}
