package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A planned end on virtual time: who is served how long, and what is owed until when. */
class ShutdownTest extends ReducerCase {
    private boolean handsOverEarly(byte[]... words) {
        request();
        for (byte[] word : words) {
            play(new Event.SiblingMessage(1, word));
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

    /** Closed early, connections of clients that have nowhere else to go were lost requests. */
    @Test
    void aPlannedEndServesOnWhereNoSiblingIsThere() {
        assertFalse(handsOverEarly());
    }

    /** Closed late, they would meet the sibling's own planned end, which mostly comes next. */
    @Test
    void aPlannedEndHandsClientsOverToASibling() {
        assertTrue(handsOverEarly(new byte[0]));
    }

    /** Its words for its last jobs passed for company: both listeners were closed for two seconds of a rolling restart. */
    @Test
    void aSiblingThatLeavesIsNoCompany() {
        assertFalse(handsOverEarly(new byte[0], new byte[] {'L', 'V', 1}, new byte[0]));
    }

    /** After the time that it may take it has ended, and what is heard of it is its next life. */
    @Test
    void aSiblingThatWasStartedAnewIsCompany() {
        request();
        play(new Event.SiblingMessage(1, new byte[] {'L', 'V', 1}));
        now += SCHEDULE.killAfterUs();
        assertTrue(handsOverEarly(new byte[0]));
    }

    /** Another process serves at the same address: whoever connects anew is its, and whoever is here is sent over. */
    @Test
    void aRelievedProcessStopsListeningAtOnceAndGivesItsClientsBack() {
        request();
        open(8);
        play(new Event.AnsweredLocally(8));
        play(new Event.AnswerWritten(8, false));
        play(new Event.ShutdownRequested(true));
        assertEquals(1, all(Effect.StopListening.class).size());
        assertEquals(1, all(Effect.CloseSiblingSocket.class).size());
        assertEquals(0, all(Effect.HalfCloseIdleClients.class).size(), "a request may be on its way");
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.AttemptUpdated(0, new AttemptUpdate.Served(new byte[0])));
        assertTrue(all(Effect.Answer.class).get(0).close(), "its client connects anew, to the other one");
        play(new Event.AnswerWritten(7, true));
        play(new Event.ClientClosed(7));
        now += SCHEDULE.serveAloneUs() - 1;
        play(new Event.Woken());
        assertEquals(Phase.DRAINING, reducer.phase(), "one kept connection is idle still");
        now += 1;
        play(new Event.Woken());
        assertEquals(1, all(Effect.HalfCloseIdleClients.class).size());
        play(new Event.ClientClosed(8));
        now += Lifecycle.IN_FLIGHT_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** The platform kills a process by its classes' longest deadline, and ends were timed for 3 s and more. */
    @Test
    void aPlannedEndIsOverBeforeTheKillWhateverTheDeadlines() {
        for (long deadline : new long[] {1, 200_000, SECOND, 2 * SECOND, 3 * SECOND, 60 * SECOND}) {
            long killed = Math.min(3 * SECOND, deadline) + 700_000;
            effects.clear();
            Reducer r = new Reducer(settings(deadline), new Reducer.Bounds(8, 8, 8, 120_000, 10 * SECOND), 1);
            for (Event e : List.of(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"), new Event.WatchUpdated(null), new Event.ClientConnected(7),
                    new Event.RequestArrived(7, new Submission("t", 0, 0, 9 * SECOND, 1_000, 1, 0, 0, new Payload() { })),
                    new Event.WorkerConnected(0), new Event.RequestWritten(0), new Event.ShutdownRequested(false))) {
                effects.addAll(played(r, e, now));
            }
            long told = now;
            for (long at = 0; at < killed - 100_000; at += 10_000) {
                effects.addAll(played(r, new Event.Woken(), told + at));
            }
            assertEquals(1, all(Effect.Answer.class).size(), "of " + deadline);
            assertEquals(0, all(Effect.Stop.class).size(), "its client has not read that yet");
            effects.addAll(played(r, new Event.Woken(), told + killed - 100_000));
            assertEquals(1, all(Effect.Stop.class).size(), "of " + deadline);
        }
    }

    /** Who halts with a client's bytes unread resets the connection, and the answer on it. */
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
        // what turns up now is told so, and not sent on
        open(9);
        play(new Event.RequestArrived(9, new Submission("u", 0, 0, SECOND, 1_000, 1, 0, 0, new Payload() { })));
        assertEquals(1, all(Effect.SendRequest.class).size());
        assertEquals(new Effect.Answer(9, FinalAnswer.Rejected.withDefaultRetry(Dispatcher.Refusal.ENDING), true), all(Effect.Answer.class).get(1));
        play(new Event.ClientClosed(9));
        play(new Event.ClientClosed(7));
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** After a pause all of an end's timers are due in one turn: the process must not stop before it has looked into its sockets. */
    @Test
    void aPauseOverAllOfItsTimesDoesNotEndItUnseen() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        play(new Event.ShutdownRequested(false));
        now += SCHEDULE.closeUs();
        effects.clear();
        effects.addAll(reducer.reduce(new Event.Woken(), now));
        assertEquals(1, all(Effect.StopListening.class).size());
        assertEquals(0, all(Effect.Stop.class).size(), "its sockets were not looked at");
        open(9);
        request(9, "u");
        assertEquals(new Effect.Answer(9, FinalAnswer.Rejected.withDefaultRetry(Dispatcher.Refusal.ENDING), true), all(Effect.Answer.class).get(0));
        play(new Event.ListenerClosed(true));
        play(new Event.SocketsPolled(Effect.PollSockets.SHUTDOWN));
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** A call of accept fails for a moment: the listener is emptied once more, and the process stays for that. */
    @Test
    void aListenerThatCouldNotBeEmptiedIsTriedAgain() {
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

    /** Nobody is left: there is nothing to stay for. */
    @Test
    void aRelievedProcessWithoutClientsEndsEarly() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.ShutdownRequested(true));
        now += Lifecycle.IN_FLIGHT_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }
}
