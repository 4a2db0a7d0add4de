package granitefold.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The bookkeeping of peer connections: which are open, which of them are idle and since when. */
final class Pool {
    /** A peer closes an idle connection after a told time; ours goes by this share of it, lest a request meet that. */
    private static final double IDLE_SHARE = 0.7;

    private final Map<Long, PeerConnection> open = new HashMap<>();
    /** Connections without a try, the longest idle first, and those that only wait for the end of an answer. */
    private final LinkedHashSet<PeerConnection> idle = new LinkedHashSet<>();
    private final LinkedHashSet<PeerConnection> settled = new LinkedHashSet<>();
    private final int most;
    private final long idleUs;
    private final Timers timers;
    private final List<Effect> effects;
    private long number;

    Pool(int most, long idleCloseUs, Timers timers, List<Effect> effects) {
        this.most = most;
        idleUs = (long) (idleCloseUs * IDLE_SHARE);
        this.timers = timers;
        this.effects = effects;
    }

    PeerConnection get(long id) {
        return open.get(id);
    }

    /** An idle connection to the peer that is fresh enough for a request, or null. */
    PeerConnection takeIdle(Peer peer, long now) {
        PeerConnection c = peer.idle.peekFirst();
        if (c == null || now - c.idleSince >= idleUs) {
            return null;
        }
        idle.remove(c);
        return peer.idle.removeFirst();
    }

    /** A new connection, or null where as many are open as the limits allow. */
    PeerConnection connect(Peer peer) {
        if (open.size() >= most && !makeRoom()) {
            return null;
        }
        PeerConnection c = new PeerConnection(number++, peer);
        open.put(c.id, c);
        peer.open++;
        effects.add(new Effect.Connect(c.id, c.address));
        return c;
    }

    /** Keeps a connection for another request. */
    void release(PeerConnection c, long now) {
        c.state = PeerConnection.State.IDLE;
        c.idleSince = now;
        c.stale = true;
        unsettle(c);
        c.peer.idle.addFirst(c);
        idle.add(c);
    }

    /** Its try has ended, the end of the answer is awaited for so long: a peer must not keep it for good. */
    void settle(PeerConnection c, long until) {
        c.state = PeerConnection.State.SETTLED;
        settled.add(c);
        c.timer = timers.at(until, t -> close(c));
    }

    private void unsettle(PeerConnection c) {
        timers.cancel(c.timer);
        settled.remove(c);
    }

    void close(PeerConnection c) {
        forget(c);
        effects.add(new Effect.ClosePeer(c.id));
    }

    /** The connection is closed already. */
    void forget(PeerConnection c) {
        if (open.remove(c.id) != null) {
            c.peer.open--;
            unsettle(c);
            if (idle.remove(c)) {
                c.peer.idle.remove(c);
            }
        }
    }

    /** Stops waiting for a try: its connection closes at once, before anything else can be sent. */
    void drop(Try t) {
        timers.cancel(t.timer);
        t.connection.carries = null;
        close(t.connection);
    }

    void closeIdle(Peer peer) {
        while (!peer.idle.isEmpty()) {
            close(peer.idle.getLast());
        }
    }

    /** Closes what has been idle for too long. */
    void sweep(Collection<Peer> peers, long now) {
        for (Peer p : peers) {
            while (!p.idle.isEmpty() && now - p.idle.getLast().idleSince >= idleUs) {
                close(p.idle.getLast());
            }
        }
    }

    /** Closes the longest idle connection, or else one whose try is over; false if all carry tries. */
    private boolean makeRoom() {
        LinkedHashSet<PeerConnection> from = idle.isEmpty() ? settled : idle;
        if (from.isEmpty()) {
            return false;
        }
        close(from.iterator().next());
        return true;
    }
}
