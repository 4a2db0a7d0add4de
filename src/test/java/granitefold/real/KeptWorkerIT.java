package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Kept connections to workers, and what may come on them between two requests. */
public class KeptWorkerIT extends RealTest {
    private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    /** What a selector finds at once it hands out in any order: each order comes up in so many rounds. */
    private static final int ROUNDS = 10;

    /** Sends one job after the other, each time with something having happened on all kept connections as the process stood still. */
    private void betweenTwoRequests(Happening what) throws Exception {
        start(workerA);
        List<Exchange> kept = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            Exchange client = program.client().write(request("/once", "k" + i, TIME, "soup"));
            Exchange first = nextAttempt(kept.toArray(Exchange[]::new));
            first.answerAndEnd("done");
            assertEquals(client.readStatus(), 200);
            if (!kept.contains(first)) {
                kept.add(first);
            }
            pauseProcess();
            client.write(request("/once", "t" + i, TIME, "salt"));
            for (Exchange e : kept) {
                what.to(e);
            }
            resumeProcess();
            Exchange second = workerA.accept();
            assertEquals(second.headers.get("x-txn"), "t" + i, "on a new connection");
            second.answerAndEnd("done");
            assertEquals(client.readStatus() + client.body, "200made salt");
            for (Exchange e : kept) {
                assertTrue(e.socket.isClosed() || e.awaitClose(), "and nothing was sent on the others");
            }
            kept = new ArrayList<>(List.of(second));
        }
    }

    private interface Happening {
        void to(Exchange kept) throws IOException;
    }

    /**
     * A second answer to the first request stood in the socket when the second one was written. Its status says that nothing ran,
     * so that a job that must not run twice was sent to another worker while it ran at this one.
     */
    @Test
    public void wordsOutOfTurnAreNotTheNextRequestsAnswer() throws Exception {
        betweenTwoRequests(e -> e.write(TURNED_AWAY));
    }

    /** The worker's end is found before anything is written: the job surely never ran there, and goes to a new connection. */
    @Test
    public void aKeptConnectionThatHasEndedIsNotWrittenTo() throws Exception {
        betweenTwoRequests(Exchange::close);
    }

    /** Half a line, or a line about another request, at the moment of the close is no result, and an unsafe job is not sent again. */
    @Test
    public void halfALineAtTheCloseIsNoResult() throws Exception {
        start(workerA);
        String whole = "{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}";
        String other = whole.replace("t1", "t0");
        for (String said : new String[] {whole, whole.substring(0, 20), other + "\n"}) {
            Exchange client = program.client().write(request("/once", "t1", TIME, "soup"));
            Exchange e = workerA.accept();
            e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(said.length()) + "\r\n" + said + "\r\n");
            e.close();
            assertEquals(client.readStatus(), 500, said);
        }
        assertFalse(hasPendingConnection(workerA), "nothing was sent again");
    }

    /** An answer that never ends holds its client no longer than its time, and its connection is not used again. */
    @Test
    public void anAnswerThatNeverEndsIsGivenUp() throws Exception {
        start(workerA);
        Exchange client = program.client().write(request("/once", "t1", "X-Remaining-Ms: 400\r\n", "soup"));
        Exchange e = workerA.accept();
        e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"id");
        assertEquals(client.readStatus(), 504);
        assertTrue(e.awaitClose());
        assertFalse(hasPendingConnection(workerA));
    }

    /** One of many requests on workers ends with its client: the others' attempts go on. */
    @Test
    public void aClientThatLeavesTakesNoOtherAttemptAlong() throws Exception {
        start(workerA);
        Exchange leaves = send("/ficha", "t1", "");
        Exchange one = workerA.accept().startAnswer("started");
        Exchange stays = send("/ficha", "t2", "");
        Exchange two = workerA.accept().startAnswer("started");
        leaves.close();
        assertTrue(one.awaitClose());
        two.writeLines("{\"id\":\"t2\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(stays.readStatus() + stays.body, "200made");
    }
}
