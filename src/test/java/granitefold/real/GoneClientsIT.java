package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** No attempt is started for a client that has closed its connection. */
public class GoneClientsIT extends RealTest {
    private final List<Exchange> workerConnections = new ArrayList<>();
    private int lastKeptId;

    @BeforeMethod
    public void clearConnections() {
        workerConnections.clear();
    }

    /** Guards against missing a close behind more data than the read-ahead buffer holds, which let the job run on. */
    @Test
    public void floodingClientIsClosedAndItsAttemptCancelled() throws Exception {
        start(workerA);
        Exchange client = send("/ficha", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        Thread flood = new Thread(() -> {
            try {
                client.write("x".repeat(1 << 20));
            } catch (IOException e) {
                // Expected: the connection was closed.
            }
        });
        flood.start();
        assertTrue(attempt.awaitClose());
        flood.join();
        assertTrue(client.readToEndOrReset().isEmpty());
    }

    /** A client that closes counts as gone, and a shutdown of its sending side looks the same from here. */
    @Test
    public void halfClosedClientCountsAsGone() throws Exception {
        start(workerA);
        Exchange client = send("/ficha", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        client.socket.shutdownOutput();
        assertTrue(attempt.awaitClose());
        assertTrue(client.readToEndOrReset().isEmpty());
    }

    /** A selector returns simultaneous events in any order; this many rounds cover each order. */
    private static final int ROUNDS = 10;
    /** What follows a request whose client then closes: more than is read ahead of an answer. */
    private static final int UNREAD_BYTES = 1 << 20;
    /** The time for a paused process's sockets to take what they can. */
    private static final long WRITE_MS = 200;

    /**
     * Guards against starting an attempt on an idle worker connection before the client's close is read, when a delayed event
     * loop finds the request and the close together.
     */
    @Test
    public void closeAfterTheRequestIsReadBeforeTheAttemptStarts() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            reuseWorkerConnection();
            pauseProcess();
            send("/ficha", "gone" + i, "").close();
            resumeProcess();
            assertNextAttemptIs("good" + i);
        }
    }

    /** The same for a second request on a connection whose first request ends while the process is paused. */
    @Test
    public void closeAfterAPipelinedRequestIsReadBeforeTheAttemptStarts() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            reuseWorkerConnection();
            Exchange client = send("/ficha", "t" + i, "");
            Exchange attempt = nextTracked();
            attempt.startAnswer("started");
            pauseProcess();
            attempt.writeLines(doneLine(attempt)).endAnswer();
            client.write(request("/ficha", "gone" + i, TIME, "salt"));
            client.close();
            resumeProcess();
            assertNextAttemptIs("good" + i);
        }
    }

    /** Guards against starting the next attempt when an attempt fails and its client closes while the process is paused. */
    @Test
    public void closeBetweenTwoAttemptsIsReadBeforeTheNextStarts() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            reuseWorkerConnection();
            Exchange client = send("/ficha", "gone" + i, "");
            Exchange first = nextTracked();
            assertEquals(first.headers.get("x-txn"), "gone" + i);
            first.startAnswer("started");
            pauseProcess();
            first.writeLines(doneLine(first).replace("done", "lost")).endAnswer();
            client.close();
            resumeProcess();
            assertNextAttemptIs("good" + i);
        }
    }

    /** Guards against a close that is not found behind much unread input: the request was sent on although its client had left. */
    @Test
    public void closeBehindMuchUnreadInputIsReadBeforeTheAttemptStarts() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            reuseWorkerConnection();
            Exchange client = program.client();
            pauseProcess();
            String text = request("/ficha", "gone" + i, TIME, "soup") + "x".repeat(UNREAD_BYTES);
            Thread writer = new Thread(() -> {
                try {
                    client.write(text);
                } catch (IOException e) {
                    // closed below, if the buffers of the sockets do not hold all of it
                }
            });
            writer.start();
            writer.join(WRITE_MS);
            client.close();
            resumeProcess();
            assertNextAttemptIs("good" + i);
        }
    }

    @DataProvider
    static Object[][] classes() {
        return new Object[][] {{"/ficha", ""}, {"/once", ""}, {"/guardar", "Idempotency-Key: k\r\n"}};
    }

    /** Guards against forgetting an id with its client: the worker may run the job, and ran it again when the id came once more. */
    @Test(dataProvider = "classes")
    public void idOfAClientThatLeftIsNotSentAgain(String target, String key) throws Exception {
        start(workerA);
        Exchange gone = send(target, "t1", key);
        Exchange attempt = workerA.accept();
        gone.close();
        assertTrue(attempt.awaitClose());
        assertEquals(send(target, "t1", key).readStatus(), 409);
        send(target, "t2", key);
        assertEquals(nextAttempt().headers.get("x-txn"), "t2");
    }

    /** Guards against remembering an id that never ran: the client may try again after it was turned away. */
    @Test
    public void idThatWasTurnedAwayMayBeSentAgain() throws Exception {
        start(workerA);
        Exchange turnedAway = program.client().write(request("/ficha", "t1", "X-Remaining-Ms: 0\r\n", "soup"));
        assertEquals(turnedAway.readStatus(), 503);
        Exchange again = send("/ficha", "t1", "");
        workerA.accept().answerAndEnd("done");
        assertEquals(again.readStatus(), 200);
    }

    private static String doneLine(Exchange e) {
        return "{\"id\":\"" + e.headers.get("x-txn") + "\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}";
    }

    /** Returns the next attempt, on a known or a new worker connection, and keeps its connection. */
    private Exchange nextTracked() throws Exception {
        Exchange e = nextAttempt(workerConnections.toArray(Exchange[]::new));
        if (!workerConnections.contains(e)) {
            workerConnections.add(e);
        }
        return e;
    }

    /** Sends requests until an idle worker connection is used again. */
    private void reuseWorkerConnection() throws Exception {
        for (int i = 0; i < 1_000; i++) {
            int before = workerConnections.size();
            Exchange client = send("/ficha", "kept" + ++lastKeptId, "");
            nextTracked().answerAndEnd("done");
            assertEquals(client.readStatus(), 200);
            if (before > 0 && workerConnections.size() == before) {
                return;
            }
        }
        throw new AssertionError("no worker connection was reused");
    }

    /** Asserts that the next request at a worker, on an existing connection or a new one, is this one. */
    private void assertNextAttemptIs(String txn) throws Exception {
        Exchange client = send("/ficha", txn, "");
        Exchange next = nextTracked();
        assertEquals(next.headers.get("x-txn"), txn);
        next.answerAndEnd("done");
        assertEquals(client.readStatus(), 200);
    }
}
