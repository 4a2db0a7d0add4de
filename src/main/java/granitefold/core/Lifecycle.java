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
    static final long IN_FLIGHT_US = 100_000;
    /** A listener whose queue could not be emptied is tried again after this. */
    static final long LISTENER_RETRY_US = 10_000;

    private final CoreContext core;
    private final Requests requests;
    private final SiblingTracker siblings;
    private final ShutdownSchedule schedule;
    /** Hands in requests that still wait for discovery's first word. */
    private final Runnable submitEarlyRequests;
    private Phase phase = Phase.STARTING;
    /** Another process of this dispatcher serves: this one ends once its clients have gone over. */
    private boolean takenOver;
    private boolean listenerClosed;
    /** Resting clients were shut, and the time for what they sent before is over. */
    private boolean clientsHalfClosed;
    /** Since then all that had come to the sockets was read. */
    private boolean clientsRead;
    private boolean polling;

    Lifecycle(CoreContext core, Requests requests, SiblingTracker siblings, ShutdownSchedule schedule, Runnable submitEarlyRequests) {
        this.core = core;
        this.requests = requests;
        this.siblings = siblings;
        this.schedule = schedule;
        this.submitEarlyRequests = submitEarlyRequests;
    }

    Phase phase() {
        return phase;
    }

    private void enter(Phase next) {
        phase = next;
        core.effects.add(new Effect.Log(LogEvent.PHASE, next));
        core.availabilityMonitor.evaluate(core.now);
        core.figuresPublisher.publish();
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
    void shutdownRequested(boolean anotherServes) {
        if (phase.compareTo(Phase.DRAINING) >= 0) {
            return;
        }
        takenOver = anotherServes;
        enter(Phase.DRAINING);
        boolean siblingUp = siblings.siblingUp(core.now);
        core.listenUntil = core.now + (takenOver ? 0 : siblingUp ? schedule.handOverUs() : schedule.serveAloneUs());
        core.answersDueAt = core.now + schedule.finishUs();
        core.closingEndsAt = core.now + schedule.closeUs();
        if (takenOver) {
            core.module.relieved();
            core.effects.add(new Effect.CloseSiblingSocket());
        } else {
            siblings.announceLeaving(core.now);
        }
        core.timers.at(core.listenUntil, t -> core.effects.add(new Effect.StopListening()));
        long keepAliveUntil = takenOver ? core.now + schedule.serveAloneUs() : core.listenUntil;
        core.timers.at(keepAliveUntil, t -> core.effects.add(new Effect.HalfCloseIdleClients()));
        core.timers.at(keepAliveUntil + IN_FLIGHT_US, t -> readRemaining());
        core.timers.at(core.answersDueAt, t -> giveUpAll());
        core.timers.at(core.closingEndsAt, t -> pollSockets());
    }

    private void readRemaining() {
        clientsHalfClosed = true;
        pollSockets();
    }

    private void giveUpAll() {
        submitEarlyRequests.run();
        requests.giveUpAll();
    }

    /** Asks for all that has come to the sockets by now. */
    private void pollSockets() {
        if (!polling) {
            polling = true;
            core.effects.add(new Effect.PollSockets(Effect.PollSockets.SHUTDOWN));
        }
    }

    /** All that had come to the sockets when that was asked for has been read. */
    void socketsPolled() {
        polling = false;
        clientsRead |= clientsHalfClosed;
        if (phase == Phase.CLOSING && mayStop() && core.guard.mayStop(requests.owed())) {
            enter(Phase.STOPPED);
            core.effects.add(new Effect.Stop());
        }
    }

    /** The listener's queue was taken in and the listener closed; or not all of it could be. */
    void listenerClosed(boolean emptied) {
        listenerClosed = emptied;
        if (!emptied) {
            core.timers.at(core.now + LISTENER_RETRY_US, t -> core.effects.add(new Effect.StopListening()));
        }
    }

    private boolean mayStop() {
        return requests.owed() == 0 && (core.clients.size() == 0 && listenerClosed || core.now >= core.closingEndsAt);
    }

    /** Goes on to the next phase where all that the present one owes has been done; after each event. */
    void advance() {
        if (phase == Phase.DRAINING && takenOver && listenerClosed && !clientsHalfClosed && core.clients.size() == 0) {
            readRemaining();
        }
        if (phase == Phase.DRAINING && clientsRead && (listenerClosed || core.now >= core.answersDueAt)) {
            enter(Phase.FINISHING);
        }
        if (phase == Phase.FINISHING && requests.owed() == 0) {
            enter(Phase.CLOSING);
            core.guard.close();
            if (core.statePersistence != null) {
                // no more is learned: the disk has until the end of the process for it
                core.statePersistence.save(core.now);
            }
            core.effects.add(new Effect.HalfCloseAllClients());
        }
        if (phase == Phase.CLOSING && mayStop()) {
            pollSockets();
        }
    }
}
