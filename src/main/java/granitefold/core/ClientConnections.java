package granitefold.core;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bookkeeping of client connections: how long each may take over what it does, and which one goes where there is
 * no room for another. Without it those that say nothing, or never come to an end, keep usual clients out.
 */
final class ClientConnections {
    /**
     * A whole request must have come so long after its connection, or after its own first byte on a kept one. Slow lines
     * take 2 s over one, and whoever takes longer is to hear of it within 3 s.
     */
    static final long REQUEST_US = 2_800_000;
    /** How long an answer may take to write to a client that does not read it. */
    static final long WRITE_US = 2_000_000;
    /** How long a client that was told to close may take to read that, while what it sends is thrown away. */
    static final long LINGER_US = 500_000;
    /** A new connection brings its request at once; one silent for longer makes room for others. */
    static final long SILENT_US = 200_000;

    /** Who writes a request slowly is seldom silent for longer within it. */
    static final long STOPPED_US = 1_000_000;

    private enum State {
        /** It has connected and sent nothing yet. */
        READING,
        /** A part of a request has come. */
        BEGUN,
        OWED,
        WRITING,
        IDLE,
        /** Idle, and has never brought a job: it asked something else once, and stayed. */
        VISITING,
        /** It has its answer and was told to close. */
        LINGERING,
        /** We have closed it, and will hear so. */
        CLOSING
    }

    private static final class Place {
        final long client;
        State state;
        boolean broughtJob;
        long since;
        Timers.Timer timer;

        Place(long client) {
            this.client = client;
        }
    }

    private final Map<Long, Place> places = new HashMap<>();
    /** The places in each state, the longest there first. */
    private final Map<State, LinkedHashMap<Long, Place>> in = new EnumMap<>(State.class);
    private final int most;
    private final Timers timers;
    private final List<Effect> effects;

    ClientConnections(int most, Timers timers, List<Effect> effects) {
        this.most = most;
        this.timers = timers;
        this.effects = effects;
        for (State s : State.values()) {
            in.put(s, new LinkedHashMap<>());
        }
    }

    /** Those that are open. */
    int size() {
        return places.size() - in.get(State.CLOSING).size();
    }

    void opened(long client, long now) {
        if (size() >= most) {
            makeRoom(now);
        }
        Place p = new Place(client);
        places.put(client, p);
        move(p, State.READING, now);
    }

    /** The first bytes of another request have come. */
    void begun(long client, long now) {
        move(places.get(client), State.BEGUN, now);
    }

    /** More of a request has come, but not its end: its time runs on, and of those it has been silent for the least. */
    void heard(long client, long now) {
        Place p = places.get(client);
        if (p != null && (p.state == State.READING || p.state == State.BEGUN)) {
            in.get(p.state).remove(client);
            p.state = State.BEGUN;
            p.since = now;
            in.get(State.BEGUN).put(client, p);
        }
    }

    /** A whole request has come. */
    void arrived(long client, long now) {
        Place p = places.get(client);
        if (p != null) {
            p.broughtJob = true;
        }
        move(p, State.OWED, now);
    }

    void answering(long client, long now) {
        move(places.get(client), State.WRITING, now);
    }

    /** An answer is out; it was the {@code last} one if the client was told to close. */
    void written(long client, boolean last, long now) {
        Place p = places.get(client);
        move(p, last ? State.LINGERING : p != null && p.broughtJob ? State.IDLE : State.VISITING, now);
    }

    /** It was idle, and was told that no more is read. */
    void shut(long client, long now) {
        move(places.get(client), State.LINGERING, now);
    }

    void closed(long client) {
        Place p = places.remove(client);
        if (p != null) {
            timers.cancel(p.timer);
            in.get(p.state).remove(client);
        }
    }

    private void move(Place p, State to, long now) {
        if (p == null) {
            return;
        }
        timers.cancel(p.timer);
        if (p.state != null) {
            in.get(p.state).remove(p.client);
        }
        p.state = to;
        p.since = now;
        in.get(to).put(p.client, p);
        p.timer = switch (to) {
            case READING, BEGUN -> timers.at(now + REQUEST_US, t -> effects.add(new Effect.TimeOutClient(p.client)));
            case WRITING -> timers.at(now + WRITE_US, t -> close(p, CloseReason.TIMED_OUT, t));
            case LINGERING -> timers.at(now + LINGER_US, t -> close(p, CloseReason.LINGERED, t));
            default -> null;
        };
    }

    private void close(Place p, CloseReason reason, long now) {
        move(p, State.CLOSING, now);
        effects.add(new Effect.CloseClient(p.client, reason));
    }

    /**
     * Closes the connection that is missed least: one that has its last answer; then one that has said nothing for long since it
     * connected, or for longer since it began a request; then the one idle for longest, first of those that never brought a
     * job, since whoever did comes again and may find no other door open; then who began a request and is silent, since
     * slow writers are for a while, and would lose it.
     */
    private void makeRoom(long now) {
        Place silent = first(State.READING);
        Place goes = first(State.LINGERING);
        if (goes == null && silent != null && now - silent.since >= SILENT_US) {
            goes = silent;
        }
        Place begun = first(State.BEGUN);
        if (goes == null && begun != null && now - begun.since >= STOPPED_US) {
            goes = begun;
        }
        if (goes == null) {
            goes = first(State.VISITING);
        }
        if (goes == null) {
            goes = first(State.IDLE);
        }
        if (goes == null) {
            goes = begun;
        }
        if (goes == null) {
            goes = silent;
        }
        if (goes != null) {
            close(goes, CloseReason.NO_ROOM, now);
        }
    }

    private Place first(State state) {
        Iterator<Place> i = in.get(state).values().iterator();
        return i.hasNext() ? i.next() : null;
    }
}
