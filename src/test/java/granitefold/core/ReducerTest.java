package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What no socket can bring about at a chosen moment. */
class ReducerTest extends ReducerCase {
    /** What was kept past its use made room for nobody, and silent clients kept usual ones out. */
    @Test
    void forWantOfRoomTheConnectionMissedLeastIsClosed() {
        request();
        for (long client = 10; client < 17; client++) {
            open(client);
        }
        play(new Event.AnsweredLocally(12));
        play(new Event.AnswerWritten(12, false));
        play(new Event.AnsweredLocally(15));
        play(new Event.AnswerWritten(15, true));
        for (long client = 20; client < 24; client++) {
            open(client);
            now += client == 20 ? 1 : ClientConnections.SILENT_CONNECT_US;
        }
        assertEquals(List.of(15L, 12L, 10L, 11L), all(Effect.CloseClient.class).stream().map(e -> e.client()).toList());
    }

    @Test
    void aClientThatWasToldToCloseIsNotWaitedForLong() {
        open(7);
        play(new Event.AnsweredLocally(7));
        play(new Event.AnswerWritten(7, true));
        now += ClientConnections.LINGER_TIMEOUT_US;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.CloseClient(7, CloseReason.LINGERED)), all(Effect.CloseClient.class));
    }

    /** The client's time runs while its request waits to be read. */
    @Test
    void theTimeThatARequestWaitedUnreadIsTakenOffItsDeadline() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { }), SECOND));
        play(new Event.WorkerConnected(0));
        assertEquals(now + SECOND - Requests.ANSWER_MARGIN_US, all(Effect.SendRequest.class).get(0).expiresAt());
    }

    /** It was handed in as late as it had been read, and its answer came when its client had left. */
    @Test
    void whatWaitedUnreadAndThenForDiscoveryIsAnsweredInTime() {
        long leftUs = SECOND / 5;
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { }), 2 * SECOND - leftUs));
        now += leftUs;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Answer.class).size());
    }

    /** Retry storms end requests by the hundred; none may leave a timer behind until its deadline. */
    @Test
    void aRequestThatIsOverLeavesNoTimers() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.ClientClosed(7));
        long wake = all(Effect.WakeAt.class).get(all(Effect.WakeAt.class).size() - 1).at();
        assertTrue(wake < now + SECOND, "only the sweep is left");
    }

    /** A restarted program has its last list, and clients wait for it. */
    @Test
    void aKnownWorkerIsEnoughToServe() {
        play(new Event.SocketsOpened(list(State.DRAINING, true), "127.0.0.1:2"));
        assertEquals(Phase.STARTING, reducer.phase());
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        assertEquals(Phase.SERVING, reducer.phase());
    }

    /** Crowds that stop half way kept those out, or had them cut off, who write slowly but go on. */
    @Test
    void whoGoesOnWritingIsKeptBeforeThoseWhoStopped() {
        request();
        for (long client = 10; client < 17; client++) {
            open(client);
        }
        now += ClientConnections.SILENT_CONNECT_US;
        play(new Event.RequestContinued(10));
        now += ClientConnections.SILENT_CONNECT_US;
        open(20);
        assertEquals(List.of(11L), all(Effect.CloseClient.class).stream().map(e -> e.client()).toList());
        play(new Event.AnsweredLocally(16));
        play(new Event.AnswerWritten(16, false));
        for (long client = 12; client < 16; client++) {
            play(new Event.RequestContinued(client));
        }
        open(21);
        assertEquals(16, all(Effect.CloseClient.class).get(1).client(), "an idle one loses no request");
        now += ClientConnections.REQUEST_TIMEOUT_US - 2 * ClientConnections.SILENT_CONNECT_US;
        play(new Event.Woken());
        assertTrue(all(Effect.TimeOutClient.class).contains(new Effect.TimeOutClient(10)), "but not for ever");
    }

    /** What the agent has counts as told from the first moment of a process, and the list of a former life is older. */
    @Test
    void beforeDiscoverysFirstWordNothingIsSent() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        assertEquals(Phase.SERVING, reducer.phase());
        request(7, "t");
        request(8, "u");
        play(new Event.ClientClosed(8));
        assertEquals(0, all(Effect.ConnectWorker.class).size());
        play(new Event.WatchUpdated(new WorkerList(1, true, List.of(new WorkerList.Entry("p", "127.0.0.1:1", State.DRAINING, 1, 0, 0, 0, 0),
                new WorkerList.Entry("q", "127.0.0.1:3", State.READY, 1, 0, 0, 0, 0)))));
        assertEquals(List.of("127.0.0.1:3"), all(Effect.ConnectWorker.class).stream().map(Effect.ConnectWorker::address).toList());
    }

    /** It may be down: then there is no better list, once all that had come by then has been read. */
    @Test
    void discoverysFirstWordIsNotWaitedForLong() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        request(7, "t");
        now += Reducer.FIRST_LIST_TIMEOUT_US;
        play(new Event.Woken());
        assertEquals(0, all(Effect.ConnectWorker.class).size(), "a busy loop may have it in its sockets");
        assertEquals(List.of(new Effect.PollSockets(Effect.PollSockets.NO_CONNECTION)), all(Effect.PollSockets.class));
        play(new Event.SocketsPolled(Effect.PollSockets.NO_CONNECTION));
        assertEquals(1, all(Effect.ConnectWorker.class).size());
    }

    /** Whose time is shorter than that wait has its answer in time all the same. */
    @Test
    void whoCannotWaitForDiscoverysFirstWordIsRejectedInTime() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 100_000, 1_000, 1, 0, 0, new Payload() { })));
        now += 100_000 - Requests.ANSWER_MARGIN_US;
        play(new Event.Woken());
        assertTrue(all(Effect.Answer.class).get(0).answer() instanceof FinalAnswer.Rejected);
        play(new Event.SocketsPolled(Effect.PollSockets.NO_CONNECTION));
        assertEquals(1, all(Effect.Answer.class).size());
        assertEquals(0, all(Effect.ConnectWorker.class).size());
    }

    /** Nothing was written: were it kept, the attempt would be out until its client's time was over. */
    @Test
    void anAttemptWhoseClientHasGoneEndsUnsent() {
        request();
        play(new Event.WorkerConnected(0));
        assertEquals(7, all(Effect.SendRequest.class).get(0).client());
        play(new Event.ClientClosed(7));
        play(new Event.RequestNotSent(0));
        assertEquals(List.of(new Effect.CloseWorker(0)), all(Effect.CloseWorker.class));
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** A second answer that came a moment late was taken for the answer to the next request. */
    @Test
    void aWorkerConnectionRestsBeforeItIsUsedAgain() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.AttemptUpdated(0, new AttemptUpdate.Served(new byte[0])));
        play(new Event.WorkerAnswerEnded(0, true));
        request(8, "u");
        assertEquals(2, all(Effect.ConnectWorker.class).size());
        now += ConnectionPool.REUSE_DELAY_US;
        request(9, "v");
        assertEquals(2, all(Effect.ConnectWorker.class).size());
        assertEquals(0, all(Effect.SendRequest.class).get(1).connection());
    }

    /** The connection came up late, and what may have run was sent again when repeats of it were no longer dropped. */
    @Test
    void aRepeatIsNotSentOnceItsWindowHasRunOutWhileItsConnectionCameUp() {
        for (boolean late : new boolean[] {false, true}) {
            effects.clear();
            Reducer r = new Reducer(settings(0, new JobClass(Dispatcher.Effect.KEYED, Group.ALL, SECOND, SECOND, 5 * SECOND, 1, -1, 1, 0)),
                    new Reducer.Bounds(8, 8, 8, 2 * SECOND, 10 * SECOND), 1);
            for (Event e : List.of(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"), new Event.WatchUpdated(null), new Event.ClientConnected(7),
                    new Event.RequestArrived(7, new Submission("t", 0, 0, 4 * SECOND, 1_000, 1, 0, 0, new Payload() { })),
                    new Event.WorkerConnected(0), new Event.RequestWritten(0))) {
                effects.addAll(r.reduce(e, now));
            }
            now += 500_000;
            effects.addAll(r.reduce(new Event.WorkerClosed(0), now));
            assertEquals(2, all(Effect.ConnectWorker.class).size());
            now += late ? 460_000 : 440_000;
            effects.addAll(r.reduce(new Event.WorkerConnected(1), now));
            assertEquals(late ? 1 : 2, all(Effect.SendRequest.class).size());
            assertEquals(late ? 1 : 0, all(Effect.Answer.class).size(), "and its client hears at once");
        }
    }

    private long up(long version, boolean whole, State... states) {
        List<WorkerList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < states.length; i++) {
            entries.add(new WorkerList.Entry("p" + i, "127.0.0.1:1", states[i], 1, 0, 0, 0, 0));
        }
        play(new Event.WatchUpdated(new WorkerList(version, whole, entries)));
        List<Effect.Log> lists = all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_LIST).toList();
        return (Long) lists.get(lists.size() - 1).values()[2];
    }

    private long refused() {
        return all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_REFUSED).count();
    }

    /** An agent that has lost its list took all workers away until the next one came. */
    @Test
    void anEmptyWholeListTakesNoWorkersAway() {
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        assertEquals(2, up(3, true, State.READY, State.READY));
        assertEquals(2, up(4, true));
        assertEquals(2, up(5, true));
        assertEquals(1, refused(), "one line for the change of state");
        assertEquals(1, up(6, true, State.READY), "others go on as ever");
        assertEquals(1, up(7, false), "a change may hold nothing");
    }

    /** An agent that lags behind brought back as ready what had been told to drain. */
    @Test
    void anOlderListBringsBackNoWorkerToldToDrain() {
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        up(8, true, State.READY, State.DRAINING);
        play(new Event.DiscoveryAddressChanged("127.0.0.1:3"));
        assertEquals(1, up(7, true, State.READY, State.READY));
        assertEquals(1, up(7, false, State.READY, State.READY));
        assertEquals(1, up(9, true), "empty as well");
        assertEquals(1, refused(), "one line, whatever the reasons");
        assertEquals(1, up(8, true, State.READY, State.DRAINING));
        // but one that for as long as news may take has nothing newer has begun anew, and is asked for all it has
        assertEquals(1, up(2, true, State.READY, State.READY));
        now += 6 * SECOND;
        play(new Event.WatchUpdated(null));
        List<Effect.OpenWatch> opened = all(Effect.OpenWatch.class);
        assertEquals(0, opened.get(opened.size() - 1).version());
        assertEquals(2, up(2, true, State.READY, State.READY));
    }

    /** Connects take time, and the list may change meanwhile. */
    @Test
    void aWorkerToldToDrainWhileItsConnectionCameUpGetsNothing() {
        request();
        assertEquals(1, all(Effect.ConnectWorker.class).size());
        play(new Event.WatchUpdated(list(State.DRAINING, false)));
        play(new Event.WorkerConnected(0));
        assertEquals(0, all(Effect.SendRequest.class).size());
    }

    /** A machine that is cut off answers no connect at all: that attempt never ran, so another may follow. */
    @Test
    void aSilentConnectEndsInTimeAndIsTriedAgain() {
        request();
        now += 120_000;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.PollSockets(0)), all(Effect.PollSockets.class));
        play(new Event.SocketsPolled(0));
        assertEquals(1, all(Effect.CloseWorker.class).size());
        assertEquals(2, all(Effect.ConnectWorker.class).size());
    }

    /** A loop that is slow, as after a start, had the time run out before it read the connects that were up long since. */
    @Test
    void aConnectThatIsUpButNotYetReadIsNoDeadWorker() {
        request();
        now += 130_000;
        play(new Event.SiblingMessage(0, new byte[0]));
        assertEquals(0, all(Effect.CloseWorker.class).size(), "whatever event it was that let the time run out");
        play(new Event.WorkerConnected(0));
        play(new Event.SocketsPolled(0));
        assertEquals(0, all(Effect.CloseWorker.class).size());
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** Whether the last byte was written tells what a break means: here the job may run, and must not run twice. */
    @Test
    void aBreakAfterTheLastByteFailsAnUnsafeJob() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.WorkerClosed(0));
        assertTrue(all(Effect.Answer.class).get(0).answer() instanceof FinalAnswer.Failed);
    }

    @Test
    void aBreakBeforeTheLastByteIsTriedAgain() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.WorkerClosed(0));
        assertEquals(2, all(Effect.ConnectWorker.class).size());
    }

    /** Workers that drop kept connections drop them together: each of the others would cost a request. */
    @Test
    void aKeptConnectionThatBreaksTakesTheOtherIdleOnesAlong() {
        request();
        request(8, "u");
        for (long connection = 0; connection < 2; connection++) {
            play(new Event.WorkerConnected(connection));
            play(new Event.RequestWritten(connection));
            play(new Event.AttemptUpdated(connection, new AttemptUpdate.Served(new byte[0])));
            play(new Event.WorkerAnswerEnded(connection, true));
        }
        request(9, "v");
        play(new Event.RequestWritten(1));
        assertEquals(0, all(Effect.CloseWorker.class).size());
        play(new Event.WorkerClosed(1));
        assertEquals(List.of(new Effect.CloseWorker(0)), all(Effect.CloseWorker.class));
    }

    /** Siblings speak of workers by these: alike everywhere, and short enough for a message. */
    @Test
    void aWorkersIdComesFromItsNameAlone() {
        assertEquals(Worker.id("s-5be2a07c"), Worker.id("s-5be2a07c"));
        assertTrue(Worker.id("s-5be2a07c") >= 0 && Worker.id("s-5be2a07c") < 1L << 42);
    }
}
