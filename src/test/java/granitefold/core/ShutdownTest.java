package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A graceful shutdown on virtual time: how long clients are served, and when open requests are answered. */
class ShutdownTest extends ReducerCase {
    private boolean closesListenerEarly(byte[]... messages) {
        request();
        for (byte[] message : messages) {
            play(new Event.SiblingMessage(1, message));
        }
        play(new Event.ShutdownRequested(false));
        now += SCHEDULE.handOverUs();
        play(new Event.Woken());
        boolean early = !all(Effect.StopListening.class).isEmpty();
        now += SCHEDULE.serveAloneUs();
        play(new Event.Woken());
        assertEquals(1, all(Effect.StopListening.class).size());
        return early;
    }

    /** Guards against requests lost because the listener closes while clients have no other dispatcher. */
    @Test
    void aShutdownKeepsServingIfNoSiblingIsUp() {
        assertFalse(closesListenerEarly());
    }

    /** In a rolling restart the sibling usually shuts down next: clients that move late would meet that shutdown. */
    @Test
    void aShutdownHandsClientsOverToASibling() {
        assertTrue(closesListenerEarly(new byte[0]));
    }

    /** Guards against counting a leaving sibling as up by its last gossip: both listeners were closed for 2 s of a rolling restart. */
    @Test
    void aLeavingSiblingIsNotUp() {
        assertFalse(closesListenerEarly(new byte[0], new byte[] {'L', 'V', 1}, new byte[0]));
    }

    /** Once its shutdown timeout has passed, a sibling's messages come from its next process. */
    @Test
    void aRestartedSiblingIsUp() {
        request();
        play(new Event.SiblingMessage(1, new byte[] {'L', 'V', 1}));
        now += SCHEDULE.killAfterUs();
        assertTrue(closesListenerEarly(new byte[0]));
    }

    private void requestOpenThroughoutAShutdown() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 5 * SECOND, 1_000, 1, 0, 0, new Payload() { })));
        play(new Event.ShutdownRequested(false));
    }

    /** Guards against rejecting a request in the turn that sends it: after a pause its connection and the last answers were due together. */
    @Test
    void aRequestSentInTheTurnOfTheLastAnswersIsWithdrawn() {
        requestOpenThroughoutAShutdown();
        now += SCHEDULE.finishUs();
        play(new Event.WorkerConnected(0));
        assertEquals(List.of(true), all(Effect.Answer.class).stream().map(e -> e.answer() instanceof FinalAnswer.Rejected).toList());
        assertEquals(List.of(), all(Effect.SendRequest.class));
    }

    /** Guards against rejecting a request that was handed to the loop a turn before: it may be written though that is not confirmed yet. */
    @Test
    void aRequestWhoseWriteIsNotConfirmedYetIsNotRejected() {
        requestOpenThroughoutAShutdown();
        play(new Event.WorkerConnected(0));
        now += SCHEDULE.finishUs();
        play(new Event.ClientConnected(8));
        assertEquals(List.of(true), all(Effect.Answer.class).stream().map(e -> e.answer() instanceof FinalAnswer.Failed).toList());
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** Another process serves at the same address: it gets all new connections, and clients of this one are told to reconnect. */
    @Test
    void aSupersededProcessClosesItsListenerAtOnceAndReleasesItsClients() {
        request();
        open(8);
        play(new Event.AnsweredLocally(8));
        play(new Event.AnswerWritten(8, false));
        play(new Event.ShutdownRequested(true));
        assertEquals(1, all(Effect.StopListening.class).size());
        assertEquals(1, all(Effect.CloseSiblingSocket.class).size());
        assertEquals(0, all(Effect.HalfCloseIdleClients.class).size(), "a request may be in flight");
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.AttemptUpdated(0, new AttemptUpdate.Served(new byte[0])));
        assertTrue(all(Effect.Answer.class).get(0).close(), "its client reconnects, to the other process");
        play(new Event.AnswerWritten(7, true));
        play(new Event.ClientClosed(7));
        now += SCHEDULE.serveAloneUs() - 1;
        play(new Event.Woken());
        assertEquals(Phase.DRAINING, reducer.phase(), "one kept connection is still idle");
        now += 1;
        play(new Event.Woken());
        assertEquals(1, all(Effect.HalfCloseIdleClients.class).size());
        play(new Event.ClientClosed(8));
        now += Lifecycle.IN_FLIGHT_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** Guards against a shutdown timed for 3 s and more, while the kill follows the classes' longest deadline. */
    @Test
    void aShutdownEndsBeforeTheKillWhateverTheDeadlines() {
        for (long deadline : new long[] {1, 200_000, SECOND, 2 * SECOND, 3 * SECOND, 60 * SECOND}) {
            long killAt = Math.min(3 * SECOND, deadline) + 700_000;
            effects.clear();
            Reducer r = new Reducer(settings(deadline), new Reducer.Bounds(8, 8, 8, 120_000, 10 * SECOND), 1);
            for (Event e : List.of(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"), new Event.WatchUpdated(null),
                    new Event.ClientConnected(7),
                    new Event.RequestArrived(7, new Submission("t", 0, 0, 9 * SECOND, 1_000, 1, 0, 0, new Payload() { })),
                    new Event.WorkerConnected(0), new Event.RequestWritten(0), new Event.ShutdownRequested(false))) {
                effects.addAll(played(r, e, now));
            }
            long requestedAt = now;
            for (long at = 0; at < killAt - 100_000; at += 10_000) {
                effects.addAll(played(r, new Event.Woken(), requestedAt + at));
            }
            assertEquals(1, all(Effect.Answer.class).size(), "deadline " + deadline);
            assertEquals(0, all(Effect.Stop.class).size(), "its client has not read the answer yet");
            effects.addAll(played(r, new Event.Woken(), requestedAt + killAt - 100_000));
            assertEquals(1, all(Effect.Stop.class).size(), "deadline " + deadline);
        }
    }

    /** A process that exits with a client's bytes unread resets the connection, which destroys the answer on it. */
    @Test
    void theProcessStaysUntilClientsHaveClosed() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        open(8);
        play(new Event.ShutdownRequested(false));
        now += SCHEDULE.serveAloneUs();
        play(new Event.Woken());
        play(new Event.ClientHalfClosed(8));
        now += Lifecycle.IN_FLIGHT_US;
        play(new Event.AttemptUpdated(0, new AttemptUpdate.Served(new byte[0])));
        assertEquals(Phase.CLOSING, reducer.phase());
        assertEquals(1, all(Effect.HalfCloseAllClients.class).size());
        play(new Event.AnswerWritten(7, true));
        play(new Event.ClientClosed(8));
        assertEquals(0, all(Effect.Stop.class).size());
        // a request that arrives now is rejected and not forwarded
        open(9);
        play(new Event.RequestArrived(9, new Submission("u", 0, 0, SECOND, 1_000, 1, 0, 0, new Payload() { })));
        assertEquals(1, all(Effect.SendRequest.class).size());
        assertEquals(new Effect.Answer(9, FinalAnswer.Rejected.withDefaultRetry(Dispatcher.Refusal.ENDING), true), all(Effect.Answer.class).get(1));
        play(new Event.ClientClosed(9));
        play(new Event.ClientClosed(7));
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** After a pause of the process all shutdown timers are due at once: it must not stop before it has read its sockets. */
    @Test
    void aProcessPausedPastAllTimersReadsItsSocketsBeforeStopping() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        play(new Event.ShutdownRequested(false));
        now += SCHEDULE.closeUs();
        effects.clear();
        effects.addAll(reducer.reduce(new Event.Woken(), now));
        assertEquals(1, all(Effect.StopListening.class).size());
        assertEquals(0, all(Effect.Stop.class).size(), "its sockets have not been read");
        open(9);
        request(9, "u");
        assertEquals(new Effect.Answer(9, FinalAnswer.Rejected.withDefaultRetry(Dispatcher.Refusal.ENDING), true), all(Effect.Answer.class).get(0));
        play(new Event.ListenerClosed(true));
        play(new Event.SocketsPolled(Effect.PollSockets.SHUTDOWN));
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** If accept fails for a moment, emptying the listener's backlog is retried, and the process waits for it. */
    @Test
    void closingAListenerThatCouldNotBeEmptiedIsRetried() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        play(new Event.ShutdownRequested(false));
        now += SCHEDULE.serveAloneUs();
        effects.addAll(reducer.reduce(new Event.Woken(), now));
        for (int i = 1; i < 20; i++) {
            assertEquals(i, all(Effect.StopListening.class).size());
            effects.addAll(reducer.reduce(new Event.ListenerClosed(false), now));
            now += Lifecycle.LISTENER_RETRY_US;
            effects.addAll(reducer.reduce(new Event.Woken(), now));
            effects.addAll(reducer.reduce(new Event.SocketsPolled(Effect.PollSockets.SHUTDOWN), now));
        }
        assertEquals(Phase.DRAINING, reducer.phase());
        play(new Event.ListenerClosed(true));
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** Without clients there is nothing to wait for. */
    @Test
    void aSupersededProcessWithoutClientsStopsEarly() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.ShutdownRequested(true));
        now += Lifecycle.IN_FLIGHT_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }
}
