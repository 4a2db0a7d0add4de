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
    static final long REQUEST_TIMEOUT_US = 2_800_000;
    /** How long an answer may take to write to a client that does not read it. */
    static final long WRITE_TIMEOUT_US = 2_000_000;
    /** How long a client that was told to close may take to read that, while what it sends is thrown away. */
    static final long LINGER_TIMEOUT_US = 500_000;
    /** A new connection brings its request at once; one silent for longer makes room for others. */
    static final long SILENT_CONNECT_US = 200_000;

    /** Who writes a request slowly is seldom silent for longer within it. */
    static final long STALLED_REQUEST_US = 1_000_000;

    private enum State {
        /** It has connected and sent nothing yet. */
        CONNECTED,
        /** A part of a request has come. */
        RECEIVING,
        AWAITING_ANSWER,
        WRITING,
        IDLE,
        /** Idle, and has never brought a job: it asked something else once, and stayed. */
        IDLE_WITHOUT_JOBS,
        /** It has its answer and was told to close. */
        LINGERING,
        /** We have closed it, and will hear so. */
        CLOSING
    }

    private static final class Entry {
        final long client;
        State state;
        boolean sentJob;
        long since;
        Timers.Timer timer;

        Entry(long client) {
            this.client = client;
        }
    }

    private final Map<Long, Entry> entries = new HashMap<>();
    /** The places in each state, the longest there first. */
    private final Map<State, LinkedHashMap<Long, Entry>> byState = new EnumMap<>(State.class);
    private final int maxConnections;
    private final Timers timers;
    private final List<Effect> effects;

    ClientConnections(int maxConnections, Timers timers, List<Effect> effects) {
        this.maxConnections = maxConnections;
        this.timers = timers;
        this.effects = effects;
        for (State s : State.values()) {
            byState.put(s, new LinkedHashMap<>());
        }
    }

    /** Those that are open. */
    int size() {
        return entries.size() - byState.get(State.CLOSING).size();
    }

    void opened(long client, long now) {
        if (size() >= maxConnections) {
            makeRoom(now);
        }
        Entry entry = new Entry(client);
        entries.put(client, entry);
        move(entry, State.CONNECTED, now);
    }

    /** The first bytes of another request have come. */
    void requestStarted(long client, long now) {
        move(entries.get(client), State.RECEIVING, now);
    }

    /** More of a request has come, but not its end: its time runs on, and of those it has been silent for the least. */
    void received(long client, long now) {
        Entry entry = entries.get(client);
        if (entry != null && (entry.state == State.CONNECTED || entry.state == State.RECEIVING)) {
            byState.get(entry.state).remove(client);
            entry.state = State.RECEIVING;
            entry.since = now;
            byState.get(State.RECEIVING).put(client, entry);
        }
    }

    /** A whole request has come. */
    void arrived(long client, long now) {
        Entry entry = entries.get(client);
        if (entry != null) {
            entry.sentJob = true;
        }
        move(entry, State.AWAITING_ANSWER, now);
    }

    void answering(long client, long now) {
        move(entries.get(client), State.WRITING, now);
    }

    /** An answer is out; it was the {@code last} one if the client was told to close. */
    void written(long client, boolean last, long now) {
        Entry entry = entries.get(client);
        move(entry, last ? State.LINGERING : entry != null && entry.sentJob ? State.IDLE : State.IDLE_WITHOUT_JOBS, now);
    }

    /** It was idle, and was told that no more is read. */
    void halfClosed(long client, long now) {
        move(entries.get(client), State.LINGERING, now);
    }

    void closed(long client) {
        Entry entry = entries.remove(client);
        if (entry != null) {
            timers.cancel(entry.timer);
            byState.get(entry.state).remove(client);
        }
    }

    private void move(Entry entry, State to, long now) {
        if (entry == null) {
            return;
        }
        timers.cancel(entry.timer);
        if (entry.state != null) {
            byState.get(entry.state).remove(entry.client);
        }
        entry.state = to;
        entry.since = now;
        byState.get(to).put(entry.client, entry);
        entry.timer = switch (to) {
            case CONNECTED, RECEIVING -> timers.at(now + REQUEST_TIMEOUT_US, t -> effects.add(new Effect.TimeOutClient(entry.client)));
            case WRITING -> timers.at(now + WRITE_TIMEOUT_US, t -> close(entry, CloseReason.TIMED_OUT, t));
            case LINGERING -> timers.at(now + LINGER_TIMEOUT_US, t -> close(entry, CloseReason.LINGERED, t));
            default -> null;
        };
    }

    private void close(Entry entry, CloseReason reason, long now) {
        move(entry, State.CLOSING, now);
        effects.add(new Effect.CloseClient(entry.client, reason));
    }

    /**
     * Closes the connection that is missed least: one that has its last answer; then one that has said nothing for long since it
     * connected, or for longer since it began a request; then the one idle for longest, first of those that never brought a
     * job, since whoever did comes again and may find no other door open; then who began a request and is silent, since
     * slow writers are for a while, and would lose it.
     */
    private void makeRoom(long now) {
        Entry silent = first(State.CONNECTED);
        Entry victim = first(State.LINGERING);
        if (victim == null && silent != null && now - silent.since >= SILENT_CONNECT_US) {
            victim = silent;
        }
        Entry stalled = first(State.RECEIVING);
        if (victim == null && stalled != null && now - stalled.since >= STALLED_REQUEST_US) {
            victim = stalled;
        }
        if (victim == null) {
            victim = first(State.IDLE_WITHOUT_JOBS);
        }
        if (victim == null) {
            victim = first(State.IDLE);
        }
        if (victim == null) {
            victim = stalled;
        }
        if (victim == null) {
            victim = silent;
        }
        if (victim != null) {
            close(victim, CloseReason.NO_ROOM, now);
        }
    }

    private Entry first(State state) {
        Iterator<Entry> iterator = byState.get(state).values().iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }
}
