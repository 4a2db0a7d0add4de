package granitefold.standin.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import granitefold.standin.history.Entry.What;
import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What of a history is a dispatcher's doing, and what is the relays' that its connections pass through. */
class HistoryCheckerTest {
    private static final long MS = 1_000, DEADLINE_MS = 1_500;
    private static final String CLIENT = "127.0.0.1:1", PEER = "127.0.0.1:2";
    private static final RuleTerms TERMS = new RuleTerms(Map.of("job", new RuleTerms.JobClass(RuleTerms.Effect.SAFE, 0, DEADLINE_MS)), Map.of(),
            2_000, 100,
            true, true, true);

    private final List<Entry> entries = new ArrayList<>();

    @Test
    void anAttemptThatTellsMoreThanIsLeftBreaksTheRule() {
        asked(0);
        forwarded(10);
        attempt(400, 0, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(Rule.OVERSTATED), rules());
    }

    /** The relays, busy with others, read it late; the dispatcher may have sent it long before. */
    @Test
    void whatTheRelaysReadLateMayHaveBeenSentBefore() {
        asked(0);
        forwarded(10);
        attempt(400, 380, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(), rules());
    }

    @Test
    void anAttemptForAClientThatHasLongGoneBreaksTheRule() {
        asked(0);
        forwarded(10);
        left(100);
        closeForwarded(110);
        attempt(400, 0, 1_000);
        assertEquals(List.of(Rule.GONE), rules());
    }

    /** The relays, busy with others, had not passed the client's close on. */
    @Test
    void aCloseThatTheRelaysPassOnLateIsNotKnownBefore() {
        asked(0);
        forwarded(10);
        left(100);
        attempt(400, 0, 1_000);
        closeForwarded(410);
        assertEquals(List.of(), rules());
    }

    /** A later client with the same port closes much later: its close is not the one that counts. */
    @Test
    void anotherClientsCloseFromTheSamePortExcusesNothing() {
        asked(0);
        forwarded(10);
        left(100);
        closeForwarded(110);
        attempt(400, 0, 1_000);
        closeForwarded(2_000);
        assertEquals(List.of(Rule.GONE), rules());
    }

    /** The port of an attempt's connection was in use towards another worker, and that connection closed before. */
    @Test
    void theCloseOfAConnectionToAnotherWorkerEndsNoAttempt() {
        closedTo("s1", 20);
        asked(100);
        forwarded(110);
        hungAttempt("s0", 120);
        closedTo("s0", 1_580);
        rejected(1_590);
        assertEquals(List.of(), rules());
    }

    /** The port of an attempt's connection was used before towards the same worker. */
    @Test
    void theCloseOfAFormerConnectionEndsNoAttempt() {
        closedTo("s0", 20);
        asked(100);
        forwarded(110);
        hungAttempt("s0", 120);
        closedTo("s0", 1_580);
        rejected(1_590);
        assertEquals(List.of(), rules());
    }

    /** The same fault of the checker hid that the first attempt was still out. */
    @Test
    void aFormerConnectionsCloseDoesNotAllowASecondAttempt() {
        closedTo("s0", 20);
        asked(100);
        forwarded(110);
        hungAttempt("s0", 120);
        hungAttempt("s1", 900);
        closedTo("s0", 1_580);
        closedTo("s1", 1_580);
        rejected(1_590);
        assertEquals(List.of(Rule.TWO_OUT), rules());
    }

    /** What goes out on another connection from the same port says nothing of when an attempt was sent. */
    @Test
    void whatIsSentToAnotherWorkerFromTheSamePortMakesNoAttemptLate() {
        asked(0);
        forwarded(10);
        left(100);
        closeForwarded(110);
        sentTo("s0", 50);
        sentTo("s1", 390);
        add(400, What.BEGUN, "s0", "n0", PEER, 1_000, null);
        assertEquals(List.of(), rules());
    }

    @Test
    void aRejectThatIsKeptBackBreaksTheRule() {
        asked(100);
        forwarded(110);
        rejected(1_590);
        assertEquals(List.of(Rule.DELAYED), rules());
    }

    /** Under load a process lived on for a while after its kill was asked for. */
    @Test
    void aKillExcusesWhatIsOwedUntilTheProcessIsGone() {
        process(0, "killed");
        asked(100);
        forwarded(110);
        attempt(150, 0, 1_000);
        unheard(200);
        process(210, "gone");
        assertEquals(List.of(), rules());
    }

    @Test
    void whatIsOwedAfterAKilledProcessHasGoneIsLost() {
        process(0, "killed");
        process(10, "gone");
        asked(100);
        forwarded(110);
        attempt(150, 0, 1_000);
        unheard(200);
        assertEquals(List.of(Rule.LOST), rules());
    }

    private List<Rule> rules() {
        entries.sort(Comparator.comparingLong(Entry::atUs));
        return HistoryChecker.check(TERMS, entries).stream().map(Violation::rule).toList();
    }

    private void asked(long ms) {
        add(ms, What.ASKED, "client", "n0", CLIENT, DEADLINE_MS, null);
    }

    private void left(long ms) {
        add(ms, What.LEFT, "client", "n0", null, 0, null);
    }

    private void unheard(long ms) {
        add(ms, What.UNHEARD, "client", "n0", null, 0, null);
    }

    private void process(long ms, String what) {
        entries.add(Entry.of(ms * MS, What.PROCESS, "n0", what));
    }

    private void answered(long ms) {
        add(ms, What.ANSWERED, "client", "n0", null, 200, "made");
    }

    private void rejected(long ms) {
        add(ms, What.ANSWERED, "client", "n0", null, 503, "1");
    }

    private void closedTo(String worker, long ms) {
        entries.add(new Entry(ms * MS, What.CLOSED, "n0", worker, null, null, null, null, PEER, 0, null));
    }

    /** An attempt that its worker never answers, sent from the port of all attempts. */
    private void hungAttempt(String worker, long ms) {
        sentTo(worker, ms);
        add(ms, What.BEGUN, worker, "n0", PEER, 0, null);
    }

    private void sentTo(String worker, long ms) {
        entries.add(new Entry(ms * MS, What.SENT, "n0", worker, null, null, null, null, PEER, 0, null));
    }

    private void forwarded(long ms) {
        entries.add(new Entry(ms * MS, What.FORWARDED, "clients", "n0", null, null, null, null, CLIENT, 0, null));
    }

    private void closeForwarded(long ms) {
        entries.add(new Entry(ms * MS, What.CLOSE_FORWARDED, "clients", "n0", null, null, null, null, CLIENT, 0, null));
    }

    /** Seen at a time, and sent up to so much earlier. */
    private void attempt(long ms, long earlierMs, long toldMs) {
        entries.add(new Entry(ms * MS, What.SENT, "n0", "s0", null, null, null, null, PEER, earlierMs * MS, null));
        add(ms, What.BEGUN, "s0", "n0", PEER, toldMs, null);
        add(ms + 10, What.ENDED, "s0", "n0", PEER, 0, "done");
    }

    private void add(long ms, What what, String who, String whom, String conn, long number, String text) {
        entries.add(new Entry(ms * MS, what, who, whom, "r0", null, "job", "t", conn, number, text));
    }
}
