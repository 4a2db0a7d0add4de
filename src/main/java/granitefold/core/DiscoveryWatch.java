package granitefold.core;

import granitefold.logging.LogEvent;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The watch on discovery, on one clock. Whatever discovery has, and could be asked for, counts as told 6 s later, whether it
 * arrived or not. From any moment at which discovery can be reached again it takes at most {@link #SILENCE_TIMEOUT_US} until the call that
 * is out is given up, or {@link #MAX_BACKOFF_US} until the pause is over; a call that was out for longer than the pause is followed
 * by the next one at once. The last list stands meanwhile.
 */
final class DiscoveryWatch {
    /** Heartbeats come every 2 s; after this much silence the call is given up, whatever had become of it. */
    static final long SILENCE_TIMEOUT_US = 3_000_000;
    /** The first and the longest time from one call to the next; by chance up to half of it less. */
    static final long INITIAL_BACKOFF_US = 50_000, MAX_BACKOFF_US = 1_000_000;

    /**
     * An agent that for so long has told nothing but lists of an older index does not lag behind, since what lags counts as
     * told by then: discovery has begun anew, and counts from there.
     */
    private static final long MAX_LAG_US = 6_000_000;

    private enum State {
        /** A call was made and nothing has come yet: it may be dialling, or wait for an answer. */
        CALLED,
        /** Words come. */
        RECEIVING,
        /** The next call is still to be made. */
        BACKING_OFF
    }

    /** What is to be done with a list. */
    enum ListAcceptance {
        /** There is none, or it says nothing. */
        IGNORED,
        /** It is older than ours: who is told to drain there gets nothing new, and nobody is taken for up again. */
        DRAINS_ONLY,
        /** It is taken in. */
        ACCEPTED
    }

    private final Timers timers;
    private final List<Effect> effects;
    private final SplittableRandom random;
    private State state = State.BACKING_OFF;
    private String address;
    private long version;
    private long calledAt;
    private long lastReceivedAt;
    private long backoff = INITIAL_BACKOFF_US;
    /** Whether the last list was not taken in whole; since when all were older than ours, or 0. */
    private boolean rejecting;
    private long olderListsSince;
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
        calledAt = lastReceivedAt = now;
        effects.add(new Effect.OpenWatch(address, version));
        enter(State.CALLED, now + SILENCE_TIMEOUT_US);
    }

    private void enter(State next, long until) {
        state = next;
        timers.cancel(timer);
        timer = timers.at(until, this::timerElapsed);
    }

    private void timerElapsed(long now) {
        if (state == State.BACKING_OFF) {
            open(now);
        } else if (now - lastReceivedAt < SILENCE_TIMEOUT_US) {
            enter(state, lastReceivedAt + SILENCE_TIMEOUT_US);
        } else {
            // a cut link says nothing: only the missing heartbeats show it
            effects.add(new Effect.CloseWatch());
            ended("silent", now);
        }
    }

    /** A word has come, without news where {@code list} is null. */
    ListAcceptance received(WorkerList list, boolean workersKnown, long now) {
        lastReceivedAt = now;
        state = State.RECEIVING;
        boolean older = list != null && list.version() < version;
        if (olderListsSince != 0 && now - olderListsSince >= MAX_LAG_US && (list == null || older)) {
            // from its first list on
            olderListsSince = 0;
            version = 0;
            effects.add(new Effect.CloseWatch());
            open(now);
            return ListAcceptance.IGNORED;
        }
        if (list == null) {
            return ListAcceptance.IGNORED;
        }
        if (list.whole() && list.entries().isEmpty() && workersKnown) {
            // nobody runs a fleet of none: what lost its own list, or has not read it yet, says this
            reject("empty");
            return ListAcceptance.IGNORED;
        }
        if (older) {
            // an agent that lags behind, or one moved to: whom it takes for up may be told to drain by now
            olderListsSince = olderListsSince == 0 ? now : olderListsSince;
            reject("older than " + version);
            return ListAcceptance.DRAINS_ONLY;
        }
        olderListsSince = 0;
        rejecting = false;
        version = list.version();
        return ListAcceptance.ACCEPTED;
    }

    /** Logs the change of state, not each list. */
    private void reject(String reason) {
        if (!rejecting) {
            rejecting = true;
            effects.add(new Effect.Log(LogEvent.DISCOVERY_REFUSED, reason));
        }
    }

    /** Leaves the watch on the old address, which may be about to end, for one on the new, at once. */
    void changeAddress(String newAddress, long now) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoff = INITIAL_BACKOFF_US;
            effects.add(new Effect.CloseWatch());
            open(now);
        }
    }

    /** The call has ended, or was given up. */
    void ended(String reason, long now) {
        if (state == State.BACKING_OFF) {
            return;
        }
        effects.add(new Effect.Log(LogEvent.DISCOVERY_ENDED, reason));
        // one that was heard for a while is no sign of trouble; one that ends as soon as it has spoken is
        backoff = state == State.RECEIVING && now - calledAt >= MAX_BACKOFF_US ? INITIAL_BACKOFF_US : backoff;
        long delay = backoff / 2 + random.nextLong(backoff / 2);
        backoff = Math.min(MAX_BACKOFF_US, backoff * 2);
        enter(State.BACKING_OFF, Math.max(now, calledAt + delay));
    }
}
