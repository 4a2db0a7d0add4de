package granitefold.core;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks client connections: times out those that are too slow, and selects one to close when the limit is reached. Otherwise
 * clients that are silent or never finish could take all connections.
 */
final class ClientConnections {
    /**
     * The time for a whole request to arrive, from the connect or, on a kept connection, from its first byte. Slow lines take
     * 2 s, and a slower client must get the time-out answer within 3 s.
     */
    static final long REQUEST_TIMEOUT_US = 2_800_000;
    /** The time for a client to read its answer. */
    static final long WRITE_TIMEOUT_US = 2_000_000;
    /** The time for a client that was told to close to do so; what it sends meanwhile is discarded. */
    static final long LINGER_TIMEOUT_US = 500_000;
    /** Clients send their request right after connecting; a connection silent for longer may be closed to make room. */
    static final long SILENT_CONNECT_US = 200_000;

    /** Slow writers rarely pause longer than this within a request; a connection that does may be closed to make room. */
    static final long STALLED_REQUEST_US = 1_000_000;

    /** A client that is silent for this long within a request may be rejected to free its memory. */
    static final long STALLED_LARGE_REQUEST_US = 50_000;
    /** The most requests that are rejected at once to free memory. */
    private static final int MAX_REJECTED_AT_ONCE = 8;

    private enum State {
        /** Connected; nothing has been received yet. */
        CONNECTED,
        /** Part of a request has been received. */
        RECEIVING,
        AWAITING_ANSWER,
        WRITING,
        IDLE,
        /** Idle, with only answers that the adapter gave by itself so far, and no job. */
        IDLE_WITHOUT_JOBS,
        /** Answered and told to close. */
        LINGERING,
        /** Closed by this side; the event that confirms it is awaited. */
        CLOSING
    }

    private static final class Entry {
        final long client;
        State state;
        boolean sentJob;
        /** The memory that is reserved for the request that it is sending. */
        int heldBytes;
        long since;
        Timers.Timer timer;

        Entry(long client) {
            this.client = client;
        }
    }

    private final Map<Long, Entry> entries = new HashMap<>();
    /** The entries by state, the longest in that state first. */
    private final Map<State, LinkedHashMap<Long, Entry>> byState = new EnumMap<>(State.class);
    private final int maxConnections;
    /** Set while memory is low and incomplete requests hold some of it. */
    private Timers.Timer memoryCheck;
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

    /** Returns the number of open connections. */
    int size() {
        return entries.size() - byState.get(State.CLOSING).size();
    }

    /** Returns the number of open connections by the name of their state, without the states that no connection is in. */
    Map<String, Long> countByState() {
        Map<String, Long> counts = new TreeMap<>();
        byState.forEach((state, members) -> {
            if (!members.isEmpty()) {
                counts.put(state.name(), (long) members.size());
            }
        });
        return counts;
    }

    void opened(long client, long now) {
        if (size() >= maxConnections) {
            makeRoom(now);
        }
        Entry entry = new Entry(client);
        entries.put(client, entry);
        move(entry, State.CONNECTED, now);
    }

    /**
     * The first bytes of another request arrived at time {@code at}. The time for the request to arrive runs from then, though a busy loop
     * has read them later, or from the answer before it: the client may wait for that answer within its next request.
     */
    void requestStarted(long client, int heldBytes, long at, long now) {
        Entry entry = entries.get(client);
        if (entry == null) {
            return;
        }
        long startedAt = Math.max(at, entry.since);
        move(entry, State.RECEIVING, now);
        entry.heldBytes = heldBytes;
        entry.since = at;
        timers.cancel(entry.timer);
        // not within this event, which may come from the middle of reading what has arrived
        long timeOutAt = Math.max(startedAt + REQUEST_TIMEOUT_US, now + 1);
        entry.timer = timers.at(timeOutAt, t -> effects.add(new Effect.TimeOutClient(client)));
    }

    /**
     * More of a request arrived at time {@code at}, but not its end: its timeout runs on, but its time of silence starts again. Returns
     * whether these are the first bytes on the connection.
     */
    boolean received(long client, int heldBytes, long at) {
        Entry entry = entries.get(client);
        boolean first = entry != null && entry.state == State.CONNECTED;
        if (first || entry != null && entry.state == State.RECEIVING) {
            byState.get(entry.state).remove(client);
            entry.state = State.RECEIVING;
            entry.since = at;
            entry.heldBytes = heldBytes;
            byState.get(State.RECEIVING).put(client, entry);
        }
        return first;
    }

    /** A whole request has arrived. */
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

    /** An answer has been written; {@code last}: it told the client to close. */
    void written(long client, boolean last, long now) {
        Entry entry = entries.get(client);
        move(entry, last ? State.LINGERING : entry != null && entry.sentJob ? State.IDLE : State.IDLE_WITHOUT_JOBS, now);
    }

    /** An idle connection was half-closed. */
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
     * Closes the connection whose loss costs least: one that has its last answer; then one that has been silent for long since it
     * connected, or for longer within a request; then the one idle for longest, those without jobs first, since a client with jobs
     * comes back and may find no other dispatcher; then one silent within a request, since a slow writer would lose that request.
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

    /**
     * Rejects the incomplete requests that memory is reserved for and whose clients have been silent for longest, some at a time, and
     * has the memory checked again once that is done or the next of them has been silent for long enough.
     */
    void freeMemory(long now) {
        List<Entry> large = byState.get(State.RECEIVING).values().stream().filter(entry -> entry.heldBytes > 0)
                .limit(MAX_REJECTED_AT_ONCE + 1).toList();
        timers.cancel(memoryCheck);
        memoryCheck = null;
        int rejected = 0;
        for (Entry entry : large) {
            if (rejected < MAX_REJECTED_AT_ONCE && now - entry.since >= STALLED_LARGE_REQUEST_US) {
                close(entry, CloseReason.NO_MEMORY, now);
                rejected++;
            } else {
                memoryCheck = timers.at(Math.max(now, entry.since + STALLED_LARGE_REQUEST_US), t -> effects.add(new Effect.CheckMemory()));
                break;
            }
        }
    }

    private Entry first(State state) {
        Iterator<Entry> iterator = byState.get(state).values().iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }
}
