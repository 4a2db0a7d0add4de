package granitefold.core;

import granitefold.logging.LogEvent;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The watch on discovery, on one clock. Whatever discovery has, and could be asked for, counts as told 6 s later, whether it
 * arrived or not. From any moment at which discovery can be reached again it takes at most {@link #SILENT_US} until the call that
 * is out is given up, or {@link #PAUSE_MOST_US} until the pause is over; a call that was out for longer than the pause is followed
 * by the next one at once. The last list stands meanwhile.
 */
final class DiscoveryWatch {
    /** Heartbeats come every 2 s; after this much silence the call is given up, whatever had become of it. */
    static final long SILENT_US = 3_000_000;
    /** The first and the longest time from one call to the next; by chance up to half of it less. */
    static final long PAUSE_FIRST_US = 50_000, PAUSE_MOST_US = 1_000_000;

    /**
     * An agent that for so long has told nothing but lists of an older index does not lag behind, since what lags counts as
     * told by then: discovery has begun anew, and counts from there.
     */
    private static final long BEHIND_US = 6_000_000;

    private enum State {
        /** A call was made and nothing has come yet: it may be dialling, or wait for an answer. */
        CALLED,
        /** Words come. */
        HEARD,
        /** The next call is still to be made. */
        PAUSED
    }

    /** What is to be done with a list. */
    enum ListAcceptance {
        /** There is none, or it says nothing. */
        NOTHING,
        /** It is older than ours: who is told to drain there gets nothing new, and nobody is taken for up again. */
        DRAINS,
        /** It is taken in. */
        ALL
    }

    private final Timers timers;
    private final List<Effect> effects;
    private final SplittableRandom random;
    private State state = State.PAUSED;
    private String address;
    private long version;
    private long calledAt;
    private long heardAt;
    private long pause = PAUSE_FIRST_US;
    /** Whether the last list was not taken in whole; since when all were older than ours, or 0. */
    private boolean refused;
    private long behindSince;
    /** The end of a silence or of a pause. */
    private Timers.Timer timer;

    DiscoveryWatch(String address, long version, long seed, Timers timers, List<Effect> effects) {
        this.address = address;
        this.version = version;
        this.timers = timers;
        this.effects = effects;
        random = new SplittableRandom(seed);
    }

    long version() {
        return version;
    }

    void open(long now) {
        calledAt = heardAt = now;
        effects.add(new Effect.OpenWatch(address, version));
        enter(State.CALLED, now + SILENT_US);
    }

    private void enter(State next, long until) {
        state = next;
        timers.cancel(timer);
        timer = timers.at(until, this::due);
    }

    private void due(long now) {
        if (state == State.PAUSED) {
            open(now);
        } else if (now - heardAt < SILENT_US) {
            enter(state, heardAt + SILENT_US);
        } else {
            // a cut link says nothing: only the missing heartbeats show it
            effects.add(new Effect.CloseWatch());
            ended("silent", now);
        }
    }

    /** A word has come, without news where {@code list} is null. */
    ListAcceptance heard(WorkerList list, boolean workersKnown, long now) {
        heardAt = now;
        state = State.HEARD;
        boolean older = list != null && list.version() < version;
        if (behindSince != 0 && now - behindSince >= BEHIND_US && (list == null || older)) {
            // from its first list on
            behindSince = 0;
            version = 0;
            effects.add(new Effect.CloseWatch());
            open(now);
            return ListAcceptance.NOTHING;
        }
        if (list == null) {
            return ListAcceptance.NOTHING;
        }
        if (list.whole() && list.entries().isEmpty() && workersKnown) {
            // nobody runs a fleet of none: what lost its own list, or has not read it yet, says this
            refuse("empty");
            return ListAcceptance.NOTHING;
        }
        if (older) {
            // an agent that lags behind, or one moved to: whom it takes for up may be told to drain by now
            behindSince = behindSince == 0 ? now : behindSince;
            refuse("older than " + version);
            return ListAcceptance.DRAINS;
        }
        behindSince = 0;
        refused = false;
        version = list.version();
        return ListAcceptance.ALL;
    }

    /** Logs the change of state, not each list. */
    private void refuse(String why) {
        if (!refused) {
            refused = true;
            effects.add(new Effect.Log(LogEvent.DISCOVERY_REFUSED, why));
        }
    }

    /** Leaves the watch on the old address, which may be about to end, for one on the new, at once. */
    void move(String to, long now) {
        if (!to.equals(address)) {
            address = to;
            pause = PAUSE_FIRST_US;
            effects.add(new Effect.CloseWatch());
            open(now);
        }
    }

    /** The call has ended, or was given up. */
    void ended(String why, long now) {
        if (state == State.PAUSED) {
            return;
        }
        effects.add(new Effect.Log(LogEvent.DISCOVERY_ENDED, why));
        // one that was heard for a while is no sign of trouble; one that ends as soon as it has spoken is
        pause = state == State.HEARD && now - calledAt >= PAUSE_MOST_US ? PAUSE_FIRST_US : pause;
        long least = pause / 2 + random.nextLong(pause / 2);
        pause = Math.min(PAUSE_MOST_US, pause * 2);
        enter(State.PAUSED, Math.max(now, calledAt + least));
    }
}
