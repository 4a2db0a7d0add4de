package granitefold.core;

import granitefold.logging.LogEvent;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Keeps a watch call to discovery open. The dispatcher must comply with a list 6 s after discovery offers it, received or not,
 * if discovery could be reached. Once it is reachable again, it takes at most {@link #SILENCE_TIMEOUT_US} to give up the pending
 * call, or {@link #MAX_BACKOFF_US} to end the backoff; a call that was open for longer than the backoff is followed by the next
 * one at once. The last list is used meanwhile.
 */
final class DiscoveryWatch {
    /** A call without a message for this long is given up, in whatever state; heartbeats come every 2 s. */
    static final long SILENCE_TIMEOUT_US = 3_000_000;
    /** The initial and the longest backoff between the starts of two calls; jitter shortens it by up to half. */
    static final long INITIAL_BACKOFF_US = 50_000, MAX_BACKOFF_US = 1_000_000;

    /**
     * The longest time that an agent may lag behind, since a list must be complied with after it. An agent that sends only older
     * versions for longer is not lagging: discovery has restarted its version count, which is accepted then.
     */
    private static final long MAX_LAG_US = 6_000_000;

    private enum State {
        /** A call was started and nothing has been received: it is connecting or waits for an answer. */
        CALLED,
        /** The call has received a message. */
        RECEIVING,
        /** No call is open; the next one starts when the backoff ends. */
        BACKING_OFF
    }

    /** How much of a message's list is applied. */
    enum ListAcceptance {
        /** Nothing: there is no list, or it is not credible. */
        IGNORED,
        /** The list is older than the current one: workers that it drains get no new jobs, and none becomes ready again. */
        DRAINS_ONLY,
        /** The whole list. */
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
    /** Whether the last list was rejected; since when all lists were older than the current one, or 0. */
    private boolean rejecting;
    private long olderListsSince;
    /** Ends the wait for a message or the backoff. */
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
            // a broken link shows only by missing heartbeats
            effects.add(new Effect.CloseWatch());
            ended("silent", now);
        }
    }

    /** A message was received; a heartbeat if {@code list} is null. */
    ListAcceptance received(WorkerList list, boolean workersKnown, long now) {
        lastReceivedAt = now;
        state = State.RECEIVING;
        boolean older = list != null && list.version() < version;
        if (olderListsSince != 0 && now - olderListsSince >= MAX_LAG_US && (list == null || older)) {
            // asks for the whole list under the new version count
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
            // no fleet has zero workers: discovery has lost its list or not read it yet
            reject("empty");
            return ListAcceptance.IGNORED;
        }
        if (older) {
            // a lagging agent, or one at a new address: workers it calls ready may be draining by now
            olderListsSince = olderListsSince == 0 ? now : olderListsSince;
            reject("older than " + version);
            return ListAcceptance.DRAINS_ONLY;
        }
        olderListsSince = 0;
        rejecting = false;
        version = list.version();
        return ListAcceptance.ACCEPTED;
    }

    /** Logs the first of consecutive rejections. */
    private void reject(String reason) {
        if (!rejecting) {
            rejecting = true;
            effects.add(new Effect.Log(LogEvent.DISCOVERY_REFUSED, reason));
        }
    }

    /** Closes the watch on the old address, which may be about to shut down, and opens one on the new address at once. */
    void changeAddress(String newAddress, long now) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoff = INITIAL_BACKOFF_US;
            effects.add(new Effect.CloseWatch());
            open(now);
        }
    }

    /** The call has ended or was given up; the next one follows after the backoff. */
    void ended(String reason, long now) {
        if (state == State.BACKING_OFF) {
            return;
        }
        effects.add(new Effect.Log(LogEvent.DISCOVERY_ENDED, reason));
        // the backoff is reset only by a call that was up for a while: one that ends right after a message is a failure
        backoff = state == State.RECEIVING && now - calledAt >= MAX_BACKOFF_US ? INITIAL_BACKOFF_US : backoff;
        long delay = backoff / 2 + random.nextLong(backoff / 2);
        backoff = Math.min(MAX_BACKOFF_US, backoff * 2);
        enter(State.BACKING_OFF, Math.max(now, calledAt + delay));
    }
}
