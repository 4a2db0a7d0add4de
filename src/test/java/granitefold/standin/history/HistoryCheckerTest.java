package granitefold.standin.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import granitefold.standin.history.Entry.What;
import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that the checker attributes an event to the dispatcher or to the relays between it and its clients and workers. */
class HistoryCheckerTest {
    private static final long MS = 1_000, DEADLINE_MS = 1_500;
    private static final String CLIENT = "127.0.0.1:1", PEER = "127.0.0.1:2";
    private static final RuleTerms TERMS = new RuleTerms(Map.of("job", new RuleTerms.JobClass(RuleTerms.Effect.SAFE, 0, DEADLINE_MS)), Map.of(),
            2_000, 100,
            true, true, true);

    private final List<Entry> entries = new ArrayList<>();

    @Test
    void reportsAnAttemptThatStatesMoreTimeThanIsLeft() {
        asked(0);
        forwarded(10);
        attempt(400, 0, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(Rule.OVERSTATED), rules());
    }

    @Test
    void reportsAProcessThatIsLargerThanItsLimit() {
        process(0, "exceeds its memory limit of 96 MB: 97 MB");
        assertEquals(List.of(Rule.OVER_MEMORY), rules());
    }

    /** A busy relay reads an attempt late; the dispatcher may have sent it long before. */
    @Test
    void allowsForAnAttemptThatTheRelayReadLate() {
        asked(0);
        forwarded(10);
        attempt(400, 380, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(), rules());
    }

    /** The kernel gave the dispatcher no processor for most of the time between the request's arrival and the attempt. */
    @Test
    void allowsForTheTimeInWhichADispatcherHadNoProcessor() {
        asked(0);
        forwarded(10);
        waitedForProcessor(150, 90, 20);
        waitedForProcessor(390, 100, 20);
        attempt(400, 0, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(), rules());
    }

    /** Of a wait that overlaps the request's time in part, only the overlap can have delayed the request. */
    @Test
    void doesNotCountWaitsBeforeARequestAndAfterItsAttempt() {
        asked(0);
        forwarded(210);
        waitedForProcessor(230, 200, 20);
        attempt(600, 0, DEADLINE_MS - 10);
        waitedForProcessor(810, 180, 20);
        answered(900);
        assertEquals(List.of(Rule.OVERSTATED), rules());
    }

    /** The thread that accepts and the one that reads may wait at the same time, which delays a request once. */
    @Test
    void countsTheTimeInWhichTwoThreadsHadNoProcessorOnce() {
        asked(0);
        forwarded(10);
        waitedForProcessor(200, 120, 20);
        waitedForProcessor(210, 130, 20);
        attempt(400, 0, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(Rule.OVERSTATED), rules());
    }

    @Test
    void doesNotCountTheWaitsOfAnotherDispatcher() {
        asked(0);
        forwarded(10);
        entries.add(new Entry(390 * MS, What.LATE, "n1", null, null, null, null, null, null, 300 * MS, Long.toString(380 * MS)));
        attempt(400, 0, DEADLINE_MS - 10);
        answered(500);
        assertEquals(List.of(Rule.OVERSTATED), rules());
    }

    @Test
    void reportsAnAttemptForADisconnectedClient() {
        asked(0);
        forwarded(10);
        left(100);
        closeForwarded(110);
        attempt(400, 0, 1_000);
        assertEquals(List.of(Rule.GONE), rules());
    }

    /** A busy relay forwards the client's close after the attempt was sent. */
    @Test
    void allowsForACloseThatTheRelayForwardedLate() {
        asked(0);
        forwarded(10);
        left(100);
        attempt(400, 0, 1_000);
        closeForwarded(410);
        assertEquals(List.of(), rules());
    }

    /** The first close after the disconnect counts, not that of a later client with the same port. */
    @Test
    void ignoresTheCloseOfALaterClientWithTheSamePort() {
        asked(0);
        forwarded(10);
        left(100);
        closeForwarded(110);
        attempt(400, 0, 1_000);
        closeForwarded(2_000);
        assertEquals(List.of(Rule.GONE), rules());
    }

    /** The local port of an attempt's connection was also used for a connection to another worker, which was closed earlier. */
    @Test
    void ignoresTheCloseOfAConnectionToAnotherWorker() {
        closedTo("s1", 20);
        asked(100);
        forwarded(110);
        hungAttempt("s0", 120);
        closedTo("s0", 1_580);
        rejected(1_590);
        assertEquals(List.of(), rules());
    }

    /** The local port of an attempt's connection was used before for a connection to the same worker. */
    @Test
    void ignoresTheCloseOfAPreviousConnection() {
        closedTo("s0", 20);
        asked(100);
        forwarded(110);
        hungAttempt("s0", 120);
        closedTo("s0", 1_580);
        rejected(1_590);
        assertEquals(List.of(), rules());
    }

    /** Taking the close of a previous connection for the end of an attempt hid that the attempt was still in flight. */
    @Test
    void reportsASecondAttemptDespiteTheCloseOfAPreviousConnection() {
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

    /** Bytes on another connection from the same port do not change the time at which an attempt was sent. */
    @Test
    void ignoresBytesSentToAnotherWorkerFromTheSamePort() {
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
    void reportsADelayedReject() {
        asked(100);
        forwarded(110);
        rejected(1_590);
        assertEquals(List.of(Rule.DELAYED), rules());
    }

    /** On a busy machine a process runs on for a while after its kill was requested. */
    @Test
    void permitsLostRequestsFromAKillUntilTheProcessIsGone() {
        process(0, "killed");
        asked(100);
        forwarded(110);
        attempt(150, 0, 1_000);
        unheard(200);
        process(210, "gone");
        assertEquals(List.of(), rules());
    }

    @Test
    void reportsRequestsLostAfterAKilledProcessIsGone() {
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

    private void waitedForProcessor(long ms, long waitMs, long intervalMs) {
        entries.add(new Entry(ms * MS, What.LATE, "n0", null, null, null, null, null, null, waitMs * MS, Long.toString(intervalMs * MS)));
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

    /** An attempt that its worker never answers; all attempts are sent from the same port. */
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

    /** An attempt that the relay reads at {@code ms} and the dispatcher sent up to {@code earlierMs} before. */
    private void attempt(long ms, long earlierMs, long statedMs) {
        entries.add(new Entry(ms * MS, What.SENT, "n0", "s0", null, null, null, null, PEER, earlierMs * MS, null));
        add(ms, What.BEGUN, "s0", "n0", PEER, statedMs, null);
        add(ms + 10, What.ENDED, "s0", "n0", PEER, 0, "done");
    }

    private void add(long ms, What what, String who, String whom, String conn, long number, String text) {
        entries.add(new Entry(ms * MS, what, who, whom, "r0", null, "job", "t", conn, number, text));
    }
}
