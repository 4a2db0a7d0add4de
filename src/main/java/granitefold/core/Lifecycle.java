package granitefold.core;

import granitefold.logging.LogEvent;

/**
 * The phases of a process and the order in which a graceful shutdown passes through them. A phase ends only after the sockets have
 * been read, never on a timer alone: after a pause of the process all timers are due at once, while the sockets still hold
 * what arrived meanwhile.
 *
 * <pre>
 * DRAINING   the listener is closed once its backlog is empty; idle clients are half-closed; what had arrived by then is read
 * FINISHING  each accepted request gets its final answer, at the latest 0.4 s before the process may be killed
 * CLOSING    clients read their answers; further requests are rejected
 * STOPPED    everything in the sockets has been read, and no answer is owed
 * </pre>
 */
final class Lifecycle {
    /** The longest time that data sent by a client before it saw the half-close can take to arrive. */
    static final long IN_FLIGHT_US = 100_000;
    /** The time after which closing the listener is retried if its backlog could not be emptied. */
    static final long LISTENER_RETRY_US = 10_000;

    private final CoreContext core;
    private final Requests requests;
    private final SiblingTracker siblings;
    private final ShutdownSchedule schedule;
    /** Passes on the requests that still wait for the first list of discovery. */
    private final Runnable submitEarlyRequests;
    private Phase phase = Phase.STARTING;
    /** Another process of this dispatcher serves: this one ends once its clients have moved to it. */
    private boolean superseded;
    private boolean listenerClosed;
    /** Idle clients were half-closed, and the time for data still in flight from them has passed. */
    private boolean clientsHalfClosed;
    /** The sockets were read completely after that. */
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
        core.metricsPublisher.publish();
    }

    /** Starts to serve: a worker is known, or none can be learned of for now. */
    void serve() {
        if (phase == Phase.STARTING) {
            enter(Phase.SERVING);
        }
    }

    /**
     * Starts a graceful shutdown. If a sibling can take over the clients, they are served for a moment longer; otherwise for as
     * long as jobs can still finish. Then the listener and idle connections are closed, and requests that are open shortly before
     * the process may be killed get their final answer.
     *
     * <p>If another process of this dispatcher serves at the same address, the listener is closed at once, so that every new
     * connection goes to that process. Connected clients are told to close by their next answer, since closing an idle connection
     * could cross a request on its way.
     */
    void shutdownRequested(boolean anotherServes) {
        if (phase.compareTo(Phase.DRAINING) >= 0) {
            return;
        }
        superseded = anotherServes;
        enter(Phase.DRAINING);
        boolean siblingUp = siblings.siblingUp(core.now);
        core.listenUntil = core.now + (superseded ? 0 : siblingUp ? schedule.handOverUs() : schedule.serveAloneUs());
        core.answersDueAt = core.now + schedule.finishUs();
        core.closingEndsAt = core.now + schedule.closeUs();
        if (superseded) {
            core.module.superseded();
            core.effects.add(new Effect.CloseSiblingSocket());
        } else {
            siblings.announceLeaving(core.now);
        }
        core.timers.at(core.listenUntil, t -> core.effects.add(new Effect.StopListening()));
        long keepAliveUntil = superseded ? core.now + schedule.serveAloneUs() : core.listenUntil;
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

    /** Requests a read of everything that the sockets hold by now. */
    private void pollSockets() {
        if (!polling) {
            polling = true;
            core.effects.add(new Effect.PollSockets(Effect.PollSockets.SHUTDOWN));
        }
    }

    /** Everything that the sockets held at {@link #pollSockets} has been read. */
    void socketsPolled() {
        polling = false;
        clientsRead |= clientsHalfClosed;
        if (phase == Phase.CLOSING && mayStop() && core.guard.mayStop(requests.owed())) {
            enter(Phase.STOPPED);
            core.effects.add(new Effect.Stop());
        }
    }

    /** The listener's backlog was accepted and the listener closed; not {@code emptied}: part of the backlog could not be accepted. */
    void listenerClosed(boolean emptied) {
        listenerClosed = emptied;
        if (!emptied) {
            core.timers.at(core.now + LISTENER_RETRY_US, t -> core.effects.add(new Effect.StopListening()));
        }
    }

    private boolean mayStop() {
        return requests.owed() == 0 && (core.clients.size() == 0 && listenerClosed || core.now >= core.closingEndsAt);
    }

    /** Enters the next phase if the current one has nothing left to do. Called after each event. */
    void advance() {
        if (phase == Phase.DRAINING && superseded && listenerClosed && !clientsHalfClosed && core.clients.size() == 0) {
            readRemaining();
        }
        if (phase == Phase.DRAINING && clientsRead && (listenerClosed || core.now >= core.answersDueAt)) {
            enter(Phase.FINISHING);
        }
        if (phase == Phase.FINISHING && requests.owed() == 0) {
            enter(Phase.CLOSING);
            core.guard.close();
            if (core.statePersistence != null) {
                // nothing more is learned from here on, and the write has the rest of the process's time to finish
                core.statePersistence.save(core.now);
            }
            core.effects.add(new Effect.HalfCloseAllClients());
        }
        if (phase == Phase.CLOSING && mayStop()) {
            pollSockets();
        }
    }
}
