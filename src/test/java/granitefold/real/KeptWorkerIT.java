package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Idle connections to workers, and unexpected events on them between two requests. */
public class KeptWorkerIT extends RealTest {
    private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    /** A selector returns simultaneous events in any order; this many rounds cover each order. */
    private static final int ROUNDS = 10;

    /** Sends pairs of jobs; between the two, while the process is paused, an event happens on all worker connections. */
    private void eventBetweenTwoRequests(ConnectionEvent event) throws Exception {
        start(workerA);
        List<Exchange> workerConnections = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            Exchange client = program.client().write(request("/once", "k" + i, TIME, "soup"));
            Exchange first = nextAttempt(workerConnections.toArray(Exchange[]::new));
            first.answerAndEnd("done");
            assertEquals(client.readStatus(), 200);
            if (!workerConnections.contains(first)) {
                workerConnections.add(first);
            }
            pauseProcess();
            client.write(request("/once", "t" + i, TIME, "salt"));
            for (Exchange e : workerConnections) {
                event.apply(e);
            }
            resumeProcess();
            Exchange second = workerA.accept();
            assertEquals(second.headers.get("x-txn"), "t" + i, "the second job must use a new connection");
            second.answerAndEnd("done");
            assertEquals(client.readStatus() + client.body, "200made salt");
            for (Exchange e : workerConnections) {
                assertTrue(e.socket.isClosed() || e.awaitClose(), "data was sent on another connection");
            }
            workerConnections = new ArrayList<>(List.of(second));
        }
    }

    private interface ConnectionEvent {
        void apply(Exchange workerConnections) throws IOException;
    }

    /**
     * Guards against taking a second answer to the first request, already in the socket, for the answer to the second request:
     * it says that nothing ran, so a job that must not run twice was sent to another worker while it ran at this one.
     */
    @Test
    public void unexpectedDataIsNotTheNextRequestsAnswer() throws Exception {
        eventBetweenTwoRequests(e -> e.write(TURNED_AWAY));
    }

    /** The worker's close is detected before anything is written, so the job cannot have run there and uses a new connection. */
    @Test
    public void closedIdleConnectionIsNotWrittenTo() throws Exception {
        eventBetweenTwoRequests(Exchange::close);
    }

    /** A partial line or a line about another request before the close is no result, and an unsafe job is not sent again. */
    @Test
    public void partialLineAtTheCloseIsNoResult() throws Exception {
        start(workerA);
        String whole = "{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}";
        String other = whole.replace("t1", "t0");
        String[] answers = {whole, whole.substring(0, 20), other + "\n"};
        for (int i = 0; i < answers.length; i++) {
            // a client uses an id once
            String answer = answers[i].replace("t1", "t1" + i);
            Exchange client = program.client().write(request("/once", "t1" + i, TIME, "soup"));
            Exchange e = workerA.accept();
            e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(answer.length()) + "\r\n" + answer + "\r\n");
            e.close();
            assertEquals(client.readStatus(), 500, answer);
        }
        assertFalse(hasPendingConnection(workerA), "the job was sent again");
    }

    /** An answer that never ends delays the client at most until its deadline, and its connection is not reused. */
    @Test
    public void answerThatNeverEndsIsAbandonedAtTheDeadline() throws Exception {
        start(workerA);
        Exchange client = program.client().write(request("/once", "t1", "X-Remaining-Ms: 400\r\n", "soup"));
        Exchange e = workerA.accept();
        e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"id");
        assertEquals(client.readStatus(), 504);
        assertTrue(e.awaitClose());
        assertFalse(hasPendingConnection(workerA));
    }

    /** When a client closes only its own attempt is cancelled; the attempts of others continue. */
    @Test
    public void closedClientDoesNotCancelOtherAttempts() throws Exception {
        start(workerA);
        Exchange closingClient = send("/ficha", "t1", "");
        Exchange firstAttempt = workerA.accept().startAnswer("started");
        Exchange stayingClient = send("/ficha", "t2", "");
        Exchange secondAttempt = workerA.accept().startAnswer("started");
        closingClient.close();
        assertTrue(firstAttempt.awaitClose());
        secondAttempt.writeLines("{\"id\":\"t2\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(stayingClient.readStatus() + stayingClient.body, "200made");
    }
}
