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

/** Orders of events that a test over sockets cannot produce at a chosen moment. */
class ReducerTest extends ReducerCase {
    /** Guards against silent or finished connections that keep other clients out when the limit is reached. */
    @Test
    void atTheConnectionLimitTheLeastUsefulConnectionIsClosed() {
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
    void aClientToldToCloseIsClosedAfterTheLingerTimeout() {
        open(7);
        play(new Event.AnsweredLocally(7));
        play(new Event.AnswerWritten(7, true));
        now += ClientConnections.LINGER_TIMEOUT_US;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.CloseClient(7, CloseReason.LINGERED)), all(Effect.CloseClient.class));
    }

    /** The client's deadline runs while its request waits to be read. */
    @Test
    void theTimeARequestWaitedUnreadIsSubtractedFromItsDeadline() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { }), SECOND));
        play(new Event.WorkerConnected(0));
        assertEquals(now + SECOND - Requests.ANSWER_MARGIN_US, all(Effect.SendRequest.class).get(0).expiresAt());
    }

    /** Guards against counting the deadline from the read: the answer came after the client had left. */
    @Test
    void aRequestThatWaitedUnreadAndForDiscoveryIsAnsweredInTime() {
        long leftUs = SECOND / 5;
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        open(7);
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { }), 2 * SECOND - leftUs));
        now += leftUs;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Answer.class).size());
    }

    /** Guards against a timer that holds the request of a gone client until its deadline, which may be years ahead. */
    @Test
    void earlyRequestOfAGoneClientLeavesNoTimer() {
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        open(7);
        int timers = reducer.timerCount();
        play(new Event.RequestArrived(7, new Submission("t", 0, 0, 1_000 * SECOND, 1_000, 1, 0, 0, new Payload() { })));
        play(new Event.ClientClosed(7));
        assertTrue(reducer.timerCount() < timers, "the connection's own timer is gone too");
    }

    /** Guards against rejecting those who are still sending, or who hold nothing, to free memory; the longest silent comes first. */
    @Test
    void whenMemoryIsLowStalledLargeRequestsAreRejected() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.WatchUpdated(null));
        for (long client = 10; client < 13; client++) {
            open(client);
            play(new Event.RequestContinued(client, client == 11 ? 0 : 40_000, 0));
        }
        now += ClientConnections.STALLED_LARGE_REQUEST_US;
        play(new Event.RequestContinued(10, 50_000, 0));
        play(new Event.MemoryLow());
        assertEquals(List.of(new Effect.CloseClient(12, CloseReason.NO_MEMORY)), all(Effect.CloseClient.class));
        now += ClientConnections.STALLED_LARGE_REQUEST_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.CheckMemory.class).size());
    }

    /** Retry storms cancel hundreds of requests; none may keep a timer until its deadline. */
    @Test
    void aFinishedRequestLeavesNoTimers() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.ClientClosed(7));
        long wake = all(Effect.WakeAt.class).get(all(Effect.WakeAt.class).size() - 1).at();
        assertTrue(wake < now + SECOND, "only the sweep is left");
    }

    /** A restarted process serves with one ready worker of its saved list, since clients are waiting for it. */
    @Test
    void aKnownWorkerIsEnoughToServe() {
        play(new Event.SocketsOpened(list(State.DRAINING, true), "127.0.0.1:2"));
        assertEquals(Phase.STARTING, reducer.phase());
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        assertEquals(Phase.SERVING, reducer.phase());
    }

    /** Guards against a time limit that a busy loop prolongs: half a request behind an answered one got its error after 3.2 s. */
    @Test
    void theTimeForARequestRunsFromTheAnswerBeforeItThoughItIsReadLater() {
        answerHealthCheck();
        now += SECOND / 2;
        assertTimesOutAfter(ClientConnections.REQUEST_TIMEOUT_US - SECOND / 2, new Event.RequestStarted(7, 0, 2 * SECOND));
    }

    /** The same on a connection that was idle: its next request has its whole time from its first bytes. */
    @Test
    void theTimeForARequestOnAnIdleConnectionRunsFromItsFirstBytes() {
        answerHealthCheck();
        now += 10 * SECOND;
        assertTimesOutAfter(ClientConnections.REQUEST_TIMEOUT_US - SECOND / 2, new Event.RequestStarted(7, 0, SECOND / 2));
    }

    private void answerHealthCheck() {
        open(7);
        play(new Event.AnsweredLocally(7));
        play(new Event.AnswerWritten(7, false));
    }

    private void assertTimesOutAfter(long timeoutUs, Event.RequestStarted event) {
        play(event);
        now += timeoutUs - 1;
        play(new Event.Woken());
        assertEquals(List.of(), all(Effect.TimeOutClient.class));
        now++;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.TimeOutClient(event.client())), all(Effect.TimeOutClient.class));
    }

    /** Guards against stalled clients that displace clients which write slowly but steadily. */
    @Test
    void aSlowWriterIsKeptRatherThanStalledClients() {
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
        assertEquals(16, all(Effect.CloseClient.class).get(1).client(), "closing an idle connection loses no request");
        now += ClientConnections.REQUEST_TIMEOUT_US - 2 * ClientConnections.SILENT_CONNECT_US;
        play(new Event.Woken());
        assertTrue(all(Effect.TimeOutClient.class).contains(new Effect.TimeOutClient(10)), "but the request times out");
    }

    /** The agent's current list binds a process from its start, and the saved list of the previous process may be older. */
    @Test
    void nothingIsSentBeforeDiscoverysFirstMessage() {
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

    /** If discovery is down, the saved list is used after a timeout, once everything that had arrived by then is read. */
    @Test
    void theWaitForDiscoverysFirstMessageTimesOut() {
        play(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"));
        request(7, "t");
        now += Reducer.FIRST_LIST_TIMEOUT_US;
        play(new Event.Woken());
        assertEquals(0, all(Effect.ConnectWorker.class).size(), "the list may have arrived without having been read");
        assertEquals(List.of(new Effect.PollSockets(Effect.PollSockets.NO_CONNECTION)), all(Effect.PollSockets.class));
        play(new Event.SocketsPolled(Effect.PollSockets.NO_CONNECTION));
        assertEquals(1, all(Effect.ConnectWorker.class).size());
    }

    /** A request whose deadline is shorter than that wait is answered in time. */
    @Test
    void aRequestThatCannotWaitForDiscoverysFirstMessageIsRejectedInTime() {
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

    /** An attempt that was never written must not stay pending until the client's deadline. */
    @Test
    void anAttemptWhoseClientHasGoneEndsWithoutBeingSent() {
        request();
        play(new Event.WorkerConnected(0));
        assertEquals(7, all(Effect.SendRequest.class).get(0).client());
        play(new Event.ClientClosed(7));
        play(new Event.RequestNotSent(0));
        assertEquals(List.of(new Effect.CloseWorker(0)), all(Effect.CloseWorker.class));
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** Guards against taking a late second answer for the answer to the next request. */
    @Test
    void aWorkerConnectionIsNotReusedRightAway() {
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

    /** Guards against a repeat after the deduplication window of a job that may have run: its connection was opened too late. */
    @Test
    void aRepeatIsNotSentIfItsWindowEndsWhileItsConnectionIsOpened() {
        for (boolean late : new boolean[] {false, true}) {
            effects.clear();
            Reducer r = new Reducer(settings(0, new JobClass(Dispatcher.Effect.KEYED, Group.ALL, SECOND, SECOND, 5 * SECOND, 1, -1, 1, 0)),
                    new Reducer.Bounds(8, 8, 8, 2 * SECOND, 10 * SECOND), 1);
            for (Event e : List.of(new Event.SocketsOpened(list(State.READY, true), "127.0.0.1:2"), new Event.WatchUpdated(null),
                    new Event.ClientConnected(7),
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
            assertEquals(late ? 1 : 0, all(Effect.Answer.class).size(), "its client is answered at once");
        }
    }

    private long readyAfter(long version, boolean whole, State... states) {
        List<WorkerList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < states.length; i++) {
            entries.add(new WorkerList.Entry("p" + i, "127.0.0.1:1", states[i], 1, 0, 0, 0, 0));
        }
        play(new Event.WatchUpdated(new WorkerList(version, whole, entries)));
        List<Effect.Log> lists = all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_LIST).toList();
        return (Long) lists.get(lists.size() - 1).values()[2];
    }

    private long rejections() {
        return all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_REFUSED).count();
    }

    /** Guards against an agent that has lost its list and removes all workers. */
    @Test
    void anEmptyWholeListRemovesNoWorkers() {
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        assertEquals(2, readyAfter(3, true, State.READY, State.READY));
        assertEquals(2, readyAfter(4, true));
        assertEquals(2, readyAfter(5, true));
        assertEquals(1, rejections(), "one line for consecutive rejections");
        assertEquals(1, readyAfter(6, true, State.READY), "other lists are accepted");
        assertEquals(1, readyAfter(7, false), "a list of changes may be empty");
    }

    /** Guards against a lagging agent that makes a draining worker ready again. */
    @Test
    void anOlderListMakesNoDrainingWorkerReady() {
        play(new Event.SocketsOpened(new WorkerList(0, true, List.of()), "127.0.0.1:2"));
        readyAfter(8, true, State.READY, State.DRAINING);
        play(new Event.DiscoveryAddressChanged("127.0.0.1:3"));
        assertEquals(1, readyAfter(7, true, State.READY, State.READY));
        assertEquals(1, readyAfter(7, false, State.READY, State.READY));
        assertEquals(1, readyAfter(9, true), "an empty list is rejected as well");
        assertEquals(1, rejections(), "one line, although the reasons differ");
        assertEquals(1, readyAfter(8, true, State.READY, State.DRAINING));
        // an agent with only older lists for the longest possible lag has restarted its count, and is asked for the whole list
        assertEquals(1, readyAfter(2, true, State.READY, State.READY));
        now += 6 * SECOND;
        play(new Event.WatchUpdated(null));
        List<Effect.OpenWatch> opened = all(Effect.OpenWatch.class);
        assertEquals(0, opened.get(opened.size() - 1).version());
        assertEquals(2, readyAfter(2, true, State.READY, State.READY));
    }

    /** The list may change while a connection is opened. */
    @Test
    void aWorkerDrainedWhileItsConnectionIsOpenedGetsNoRequest() {
        request();
        assertEquals(1, all(Effect.ConnectWorker.class).size());
        play(new Event.WatchUpdated(list(State.DRAINING, false)));
        play(new Event.WorkerConnected(0));
        assertEquals(0, all(Effect.SendRequest.class).size());
    }

    /** An isolated machine does not answer a connect: the attempt never ran, so another may follow. */
    @Test
    void anUnansweredConnectTimesOutAndIsRetried() {
        request();
        now += 120_000;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.PollSockets(0)), all(Effect.PollSockets.class));
        play(new Event.SocketsPolled(0));
        assertEquals(1, all(Effect.CloseWorker.class).size());
        assertEquals(2, all(Effect.ConnectWorker.class).size());
    }

    /** Guards against a slow event loop, as after a start, that times out connections before it notices that they are open. */
    @Test
    void anOpenConnectionThatWasNotNoticedYetIsNotTimedOut() {
        request();
        now += 130_000;
        play(new Event.SiblingMessage(0, new byte[0]));
        assertEquals(0, all(Effect.CloseWorker.class).size(), "whichever event makes the timeout due");
        play(new Event.WorkerConnected(0));
        play(new Event.SocketsPolled(0));
        assertEquals(0, all(Effect.CloseWorker.class).size());
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** After the last byte is written the job may run: if the connection breaks then, an unsafe job must not be repeated. */
    @Test
    void aBreakAfterTheLastByteFailsAnUnsafeJob() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.WorkerClosed(0));
        assertTrue(all(Effect.Answer.class).get(0).answer() instanceof FinalAnswer.Failed);
    }

    @Test
    void aBreakBeforeTheLastByteIsRetried() {
        request();
        play(new Event.WorkerConnected(0));
        play(new Event.WorkerClosed(0));
        assertEquals(2, all(Effect.ConnectWorker.class).size());
    }

    /** Workers drop kept connections together: each of the other idle ones would cost another request. */
    @Test
    void aReusedConnectionThatBreaksClosesTheOtherIdleOnes() {
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

    /** Siblings name workers by these ids: they must be equal everywhere, and fit into a message. */
    @Test
    void aWorkersIdDependsOnItsNameAlone() {
        assertEquals(Worker.id("s-5be2a07c"), Worker.id("s-5be2a07c"));
        assertTrue(Worker.id("s-5be2a07c") >= 0 && Worker.id("s-5be2a07c") < 1L << 42);
    }
}
