package granitefold.core;

import granitefold.logging.LogEvent;

/**
 * The phases of a process, and the one order in which a planned end goes through them. A step is over when what it had to bring
 * up has been seen, never because its time has passed: after a pause all times are over at once, and the sockets still hold what
 * came meanwhile.
 *
 * <pre>
 * DRAINING   the listener is closed once its queue is empty; resting clients are shut; what had come by then is read
 * FINISHING  each request taken gets its final answer, at the latest 0.4 s before the process may be killed
 * CLOSING    clients read their answers; what still comes is rejected
 * STOPPED    what had come to the sockets has been read, and nothing is owed
 * </pre>
 */
final class Lifecycle {
    /** What clients sent to a connection that is shut comes in so much later at the most. */
    static final long LAST_READ_US = 100_000;
    /** A listener whose queue could not be emptied is tried again after this. */
    static final long RETRY_US = 10_000;

    private final CoreContext core;
    private final Requests requests;
    private final SiblingTracker siblings;
    private final ShutdownSchedule ending;
    /** Hands in requests that still wait for discovery's first word. */
    private final Runnable handIn;
    private Phase phase = Phase.STARTING;
    /** Another process of this dispatcher serves: this one ends once its clients have gone over. */
    private boolean relieved;
    private boolean listenerClosed;
    /** Resting clients were shut, and the time for what they sent before is over. */
    private boolean clientsShut;
    /** Since then all that had come to the sockets was read. */
    private boolean clientsRead;
    private boolean looking;

    Lifecycle(CoreContext core, Requests requests, SiblingTracker siblings, ShutdownSchedule ending, Runnable handIn) {
        this.core = core;
        this.requests = requests;
        this.siblings = siblings;
        this.ending = ending;
        this.handIn = handIn;
    }

    Phase phase() {
        return phase;
    }

    private void enter(Phase next) {
        phase = next;
        core.effects.add(new Effect.Log(LogEvent.PHASE, next));
        core.attendance.evaluate(core.now);
        core.books.publish();
    }

    /** A worker is known, or there is none to be known for now. */
    void serve() {
        if (phase == Phase.STARTING) {
            enter(Phase.SERVING);
        }
    }

    /**
     * A planned end: clients are served on for a moment, or where no sibling is there to take them over for as long as jobs can
     * still be done. Then the listener and idle connections go, and what is left open shortly before the process may be killed
     * gets its final answer.
     *
     * <p>Where another process of this dispatcher serves at the same address, the listener goes at once, so that every new
     * connection is the other's. Clients that have one are sent over by what they are answered, since closing it might cross a
     * request.
     */
    void terminated(boolean other) {
        if (phase.compareTo(Phase.DRAINING) >= 0) {
            return;
        }
        relieved = other;
        enter(Phase.DRAINING);
        boolean company = siblings.company(core.now);
        core.listensUntil = core.now + (relieved ? 0 : company ? ending.handOverUs() : ending.serveOnUs());
        core.endsAt = core.now + ending.finishUs();
        core.closesAt = core.now + ending.closeUs();
        if (relieved) {
            core.module.superseded();
            core.effects.add(new Effect.CloseSiblingSocket());
        } else {
            siblings.leave(core.now);
        }
        core.timers.at(core.listensUntil, t -> core.effects.add(new Effect.StopListening()));
        long keepsUntil = relieved ? core.now + ending.serveOnUs() : core.listensUntil;
        core.timers.at(keepsUntil, t -> core.effects.add(new Effect.HalfCloseIdleClients()));
        core.timers.at(keepsUntil + LAST_READ_US, t -> readOut());
        core.timers.at(core.endsAt, t -> giveUpAll());
        core.timers.at(core.closesAt, t -> look());
    }

    private void readOut() {
        clientsShut = true;
        look();
    }

    private void giveUpAll() {
        handIn.run();
        requests.giveUpAll();
    }

    /** Asks for all that has come to the sockets by now. */
    private void look() {
        if (!looking) {
            looking = true;
            core.effects.add(new Effect.PollSockets(Effect.PollSockets.SHUTDOWN));
        }
    }

    /** All that had come to the sockets when that was asked for has been read. */
    void looked() {
        looking = false;
        clientsRead |= clientsShut;
        if (phase == Phase.CLOSING && mayStop() && core.guard.mayStop(requests.owed())) {
            enter(Phase.STOPPED);
            core.effects.add(new Effect.Stop());
        }
    }

    /** The listener's queue was taken in and the listener closed; or not all of it could be. */
    void listenerClosed(boolean emptied) {
        listenerClosed = emptied;
        if (!emptied) {
            core.timers.at(core.now + RETRY_US, t -> core.effects.add(new Effect.StopListening()));
        }
    }

    private boolean mayStop() {
        return requests.owed() == 0 && (core.clients.size() == 0 && listenerClosed || core.now >= core.closesAt);
    }

    /** Goes on to the next phase where all that the present one owes has been done; after each event. */
    void advance() {
        if (phase == Phase.DRAINING && relieved && listenerClosed && !clientsShut && core.clients.size() == 0) {
            readOut();
        }
        if (phase == Phase.DRAINING && clientsRead && (listenerClosed || core.now >= core.endsAt)) {
            enter(Phase.FINISHING);
        }
        if (phase == Phase.FINISHING && requests.owed() == 0) {
            enter(Phase.CLOSING);
            core.guard.close();
            if (core.recollection != null) {
                // no more is learned: the disk has until the end of the process for it
                core.recollection.give(core.now);
            }
            core.effects.add(new Effect.HalfCloseAllClients());
        }
        if (phase == Phase.CLOSING && mayStop()) {
            look();
        }
    }
}
