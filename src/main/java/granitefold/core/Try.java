package granitefold.core;

import granitefold.Dispatcher.Outcome;

/** One attempt of a request context at a peer. */
final class Try {
    final RequestContext context;
    final int number;
    final Peer peer;
    /** When the dispatcher stops waiting for it. */
    final long expiresAt;
    PeerConnection connection;
    /** Ends the wait for its connection, then that for its outcome. */
    Timers.Timer timer;
    /** Null while it is out. */
    Outcome outcome;

    Try(RequestContext context, int number, Peer peer, long expiresAt) {
        this.context = context;
        this.number = number;
        this.peer = peer;
        this.expiresAt = expiresAt;
    }
}
