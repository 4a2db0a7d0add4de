package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.State;
import granitefold.logging.LogEvent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What no socket can bring about at a chosen moment. */
class ReducerTest {
    private static final long SECOND = 1_000_000;

    private final Reducer reducer = new Reducer(new Settings(List.of(new JobClass(Dispatcher.Effect.UNSAFE, Group.ALL, 0,
            SECOND, 5 * SECOND, 1, -1, 1, 0)), List.of(), 0, 1, 0, false, true, 0, 5_000,
            new Limits(4, false, true, false, false, SECOND), new Rules(3 * SECOND, 20_000, 0.3, SECOND, 3, SECOND, 0),
            new Prices(0, 0, SECOND)), new Reducer.Bounds(8, 8, 8, 120_000, 10 * SECOND), 1);
    private final List<Effect> effects = new ArrayList<>();
    private long now = 1_000 * SECOND;

    private void play(Event event) {
        effects.addAll(reducer.reduce(event, now));
    }

    private <T> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static PeerList list(State state, boolean whole) {
        return new PeerList(1, whole, List.of(new PeerList.Entry("p", "127.0.0.1:1", state, 1, 0, 0, 0, 0)));
    }

    private void request() {
        play(new Event.Opened(list(State.READY, true), "127.0.0.1:2"));
        request(7, "t");
    }

    private void request(long client, String name) {
        open(client);
        play(new Event.RequestArrived(client, new Submission(name, 0, 0, 2 * SECOND, 1_000, 1, 0, 0, new Payload() { })));
    }

    private void open(long client) {
        play(new Event.ClientOpened(client));
    }

    /** What was kept past its use made room for nobody, and silent clients kept usual ones out. */
    @Test
    void forWantOfRoomTheConnectionMissedLeastIsClosed() {
        request();
        for (long client = 10; client < 17; client++) {
            open(client);
        }
        play(new Event.AnsweredHere(12));
        play(new Event.AnswerWritten(12, false));
        play(new Event.AnsweredHere(15));
        play(new Event.AnswerWritten(15, true));
        for (long client = 20; client < 24; client++) {
            open(client);
            now += client == 20 ? 1 : Clients.SILENT_US;
        }
        assertEquals(List.of(15L, 12L, 10L, 11L), all(Effect.CloseClient.class).stream().map(e -> e.client()).toList());
    }

    @Test
    void aClientThatWasToldToCloseIsNotWaitedForLong() {
        open(7);
        play(new Event.AnsweredHere(7));
        play(new Event.AnswerWritten(7, true));
        now += Clients.LINGER_US;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.CloseClient(7)), all(Effect.CloseClient.class));
    }

    /** Retry storms end requests by the hundred; none may leave a timer behind until its deadline. */
    @Test
    void aRequestThatIsOverLeavesNoTimers() {
        request();
        play(new Event.PeerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.ClientClosed(7));
        long wake = all(Effect.WakeAt.class).get(all(Effect.WakeAt.class).size() - 1).at();
        assertTrue(wake < now + SECOND, "only the sweep is left");
    }

    /** A restarted program has its last list, and clients wait for it. */
    @Test
    void aKnownPeerIsEnoughToServe() {
        play(new Event.Opened(list(State.DRAINING, true), "127.0.0.1:2"));
        assertEquals(Phase.STARTING, reducer.phase());
        play(new Event.Opened(list(State.READY, true), "127.0.0.1:2"));
        assertEquals(Phase.SERVING, reducer.phase());
    }

    private boolean handsOverEarly(byte[]... words) {
        request();
        for (byte[] word : words) {
            play(new Event.SiblingSaid(1, word));
        }
        play(new Event.Terminated(false));
        now += Reducer.HAND_OVER_US;
        play(new Event.Woken());
        boolean early = !all(Effect.StopListening.class).isEmpty();
        now += Reducer.SERVE_ON_US;
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
        play(new Event.SiblingSaid(1, new byte[] {'L', 'V', 1}));
        now += Siblings.LEAVES_US;
        assertTrue(handsOverEarly(new byte[0]));
    }

    /** Crowds that stop half way kept those out, or had them cut off, who write slowly but go on. */
    @Test
    void whoGoesOnWritingIsKeptBeforeThoseWhoStopped() {
        request();
        for (long client = 10; client < 17; client++) {
            open(client);
        }
        now += Clients.SILENT_US;
        play(new Event.RequestGoesOn(10));
        now += Clients.SILENT_US;
        open(20);
        assertEquals(List.of(11L), all(Effect.CloseClient.class).stream().map(e -> e.client()).toList());
        play(new Event.AnsweredHere(16));
        play(new Event.AnswerWritten(16, false));
        for (long client = 12; client < 16; client++) {
            play(new Event.RequestGoesOn(client));
        }
        open(21);
        assertEquals(16, all(Effect.CloseClient.class).get(1).client(), "an idle one loses no request");
        now += Clients.REQUEST_US - 2 * Clients.SILENT_US;
        play(new Event.Woken());
        assertTrue(all(Effect.TimeOutClient.class).contains(new Effect.TimeOutClient(10)), "but not for ever");
    }

    /** Another process serves at the same address: whoever connects anew is its, and whoever is here is sent over. */
    @Test
    void aRelievedProcessStopsListeningAtOnceAndGivesItsClientsBack() {
        request();
        open(8);
        play(new Event.AnsweredHere(8));
        play(new Event.AnswerWritten(8, false));
        play(new Event.Terminated(true));
        assertEquals(1, all(Effect.StopListening.class).size());
        assertEquals(1, all(Effect.LeaveSiblings.class).size());
        assertEquals(0, all(Effect.CloseIdle.class).size(), "a request may be on its way");
        play(new Event.PeerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.PeerSaid(0, new TryNews.Served(new byte[0])));
        assertTrue(all(Effect.Answer.class).get(0).close(), "its client connects anew, to the other one");
        play(new Event.AnswerWritten(7, true));
        play(new Event.ClientClosed(7));
        now += Reducer.SERVE_ON_US - 1;
        play(new Event.Woken());
        assertEquals(Phase.DRAINING, reducer.phase(), "one kept connection is idle still");
        now += 1;
        play(new Event.Woken());
        assertEquals(1, all(Effect.CloseIdle.class).size());
        play(new Event.ClientClosed(8));
        now += Reducer.LAST_READ_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }

    /** Nobody is left: there is nothing to stay for. */
    @Test
    void aRelievedProcessWithoutClientsEndsEarly() {
        play(new Event.Opened(list(State.READY, true), "127.0.0.1:2"));
        play(new Event.Terminated(true));
        now += Reducer.LAST_READ_US;
        play(new Event.Woken());
        assertEquals(1, all(Effect.Stop.class).size());
    }

    private long up(long version, boolean whole, State... states) {
        List<PeerList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < states.length; i++) {
            entries.add(new PeerList.Entry("p" + i, "127.0.0.1:1", states[i], 1, 0, 0, 0, 0));
        }
        play(new Event.WatchNews(new PeerList(version, whole, entries)));
        List<Effect.Log> lists = all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_LIST).toList();
        return (Long) lists.get(lists.size() - 1).values()[2];
    }

    private long refused() {
        return all(Effect.Log.class).stream().filter(l -> l.event() == LogEvent.DISCOVERY_REFUSED).count();
    }

    /** An agent that has lost its list took all peers away until the next one came. */
    @Test
    void anEmptyWholeListTakesNoPeersAway() {
        play(new Event.Opened(new PeerList(0, true, List.of()), "127.0.0.1:2"));
        assertEquals(2, up(3, true, State.READY, State.READY));
        assertEquals(2, up(4, true));
        assertEquals(2, up(5, true));
        assertEquals(1, refused(), "one line for the change of state");
        assertEquals(1, up(6, true, State.READY), "others go on as ever");
        assertEquals(1, up(7, false), "a change may hold nothing");
    }

    /** An agent that lags behind brought back as ready what had been told to drain. */
    @Test
    void anOlderListBringsBackNoPeerToldToDrain() {
        play(new Event.Opened(new PeerList(0, true, List.of()), "127.0.0.1:2"));
        up(8, true, State.READY, State.DRAINING);
        play(new Event.DiscoveryMoved("127.0.0.1:3"));
        assertEquals(1, up(7, true, State.READY, State.READY));
        assertEquals(1, up(7, false, State.READY, State.READY));
        assertEquals(1, up(9, true), "empty as well");
        assertEquals(1, refused(), "one line, whatever the reasons");
        assertEquals(1, up(8, true, State.READY, State.DRAINING));
        // but one that for as long as news may take has nothing newer has begun anew, and is asked for all it has
        assertEquals(1, up(2, true, State.READY, State.READY));
        now += 6 * SECOND;
        play(new Event.WatchNews(null));
        List<Effect.OpenWatch> opened = all(Effect.OpenWatch.class);
        assertEquals(0, opened.get(opened.size() - 1).version());
        assertEquals(2, up(2, true, State.READY, State.READY));
    }

    /** Connects take time, and the list may change meanwhile. */
    @Test
    void aPeerToldToDrainWhileItsConnectionCameUpGetsNothing() {
        request();
        assertEquals(1, all(Effect.Connect.class).size());
        play(new Event.WatchNews(list(State.DRAINING, false)));
        play(new Event.PeerConnected(0));
        assertEquals(0, all(Effect.SendRequest.class).size());
    }

    /** A machine that is cut off answers no connect at all: that try never ran, so another may follow. */
    @Test
    void aSilentConnectEndsInTimeAndIsTriedAgain() {
        request();
        now += 120_000;
        play(new Event.Woken());
        assertEquals(List.of(new Effect.Look(0)), all(Effect.Look.class));
        play(new Event.Looked(0));
        assertEquals(1, all(Effect.ClosePeer.class).size());
        assertEquals(2, all(Effect.Connect.class).size());
    }

    /** A loop that is slow, as after a start, had the time run out before it read the connects that were up long since. */
    @Test
    void aConnectThatIsUpButNotYetReadIsNoDeadPeer() {
        request();
        now += 130_000;
        play(new Event.SiblingSaid(0, new byte[0]));
        assertEquals(0, all(Effect.ClosePeer.class).size(), "whatever event it was that let the time run out");
        play(new Event.PeerConnected(0));
        play(new Event.Looked(0));
        assertEquals(0, all(Effect.ClosePeer.class).size());
        assertEquals(1, all(Effect.SendRequest.class).size());
    }

    /** Whether the last byte was written tells what a break means: here the job may run, and must not run twice. */
    @Test
    void aBreakAfterTheLastByteFailsAnUnsafeJob() {
        request();
        play(new Event.PeerConnected(0));
        play(new Event.RequestWritten(0));
        play(new Event.PeerClosed(0));
        assertTrue(all(Effect.Answer.class).get(0).answer() instanceof FinalAnswer.Failed);
    }

    @Test
    void aBreakBeforeTheLastByteIsTriedAgain() {
        request();
        play(new Event.PeerConnected(0));
        play(new Event.PeerClosed(0));
        assertEquals(2, all(Effect.Connect.class).size());
    }

    /** Peers that drop kept connections drop them together: each of the others would cost a request. */
    @Test
    void aKeptConnectionThatBreaksTakesTheOtherIdleOnesAlong() {
        request();
        request(8, "u");
        for (long connection = 0; connection < 2; connection++) {
            play(new Event.PeerConnected(connection));
            play(new Event.RequestWritten(connection));
            play(new Event.PeerSaid(connection, new TryNews.Served(new byte[0])));
            play(new Event.AnswerEnded(connection, true));
        }
        request(9, "v");
        play(new Event.RequestWritten(1));
        assertEquals(0, all(Effect.ClosePeer.class).size());
        play(new Event.PeerClosed(1));
        assertEquals(List.of(new Effect.ClosePeer(0)), all(Effect.ClosePeer.class));
    }

    /** Siblings speak of peers by these: alike everywhere, and short enough for a message. */
    @Test
    void aPeersIdComesFromItsNameAlone() {
        assertEquals(Peer.id("s-5be2a07c"), Peer.id("s-5be2a07c"));
        assertTrue(Peer.id("s-5be2a07c") >= 0 && Peer.id("s-5be2a07c") < 1L << 42);
    }
}
