package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A client that closed its connection has gone: nothing more is begun for it. */
public class GoneClientsIT extends RealTest {
    private final List<Exchange> kept = new ArrayList<>();

    @BeforeMethod
    public void none() {
        kept.clear();
    }

    /** Past what is read ahead its leaving went unseen until the answer, and its job ran on. */
    @Test
    public void whoSendsMuchAheadOfItsAnswerEndsWithItsAttempt() throws Exception {
        start(workerA);
        Exchange client = send("/ficha", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        Thread flood = new Thread(() -> {
            try {
                client.write("x".repeat(1 << 20));
            } catch (IOException e) {
                // it was ended, as it should be
            }
        });
        flood.start();
        assertTrue(attempt.awaitClose());
        flood.join();
        assertTrue(client.readToEndOrReset().isEmpty());
    }

    /** The page knows a client's going by its closing, and from here the end of sending looks the same. */
    @Test
    public void whoShutsItsSendingSideCountsAsGone() throws Exception {
        start(workerA);
        Exchange client = send("/ficha", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        client.socket.shutdownOutput();
        assertTrue(attempt.awaitClose());
        assertTrue(client.readToEndOrReset().isEmpty());
    }

    /** What a selector finds at once it hands out in any order: each order comes up in so many rounds. */
    private static final int ROUNDS = 10;

    /**
     * The loop comes late to a request, and the client's end waits behind it: with a kept connection at hand the attempt began before
     * that was read.
     */
    @Test
    public void anEndBehindTheRequestIsReadBeforeTheAttemptBegins() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            keepConnections();
            pauseProcess();
            send("/ficha", "gone" + i, "").close();
            resumeProcess();
            assertNextIs("good" + i);
        }
    }

    /** The same within a second request on a connection, whose first one ends as the process stands still. */
    @Test
    public void anEndBehindAPipelinedRequestIsReadBeforeTheAttemptBegins() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            keepConnections();
            Exchange client = send("/ficha", "t" + i, "");
            Exchange attempt = next();
            attempt.startAnswer("started");
            pauseProcess();
            attempt.writeLines(done(attempt)).endAnswer();
            client.write(request("/ficha", "gone" + i, TIME, "salt"));
            client.close();
            resumeProcess();
            assertNextIs("good" + i);
        }
    }

    /** Its attempt fails and it leaves, both while the loop stands still: the failure was read first, and the next attempt begun. */
    @Test
    public void anEndBetweenTwoAttemptsIsReadBeforeTheNextBegins() throws Exception {
        start(workerA);
        for (int i = 0; i < ROUNDS; i++) {
            keepConnections();
            Exchange client = send("/ficha", "gone" + i, "");
            Exchange first = next();
            assertEquals(first.headers.get("x-txn"), "gone" + i);
            first.startAnswer("started");
            pauseProcess();
            first.writeLines(done(first).replace("done", "lost")).endAnswer();
            client.close();
            resumeProcess();
            assertNextIs("good" + i);
        }
    }

    private static String done(Exchange e) {
        return "{\"id\":\"" + e.headers.get("x-txn") + "\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}";
    }

    /** The attempt that comes next, wherever. */
    private Exchange next() throws Exception {
        Exchange e = nextAttempt(kept.toArray(Exchange[]::new));
        if (!kept.contains(e)) {
            kept.add(e);
        }
        return e;
    }

    /** Sends until a kept connection is used again, and so has rested. */
    private void keepConnections() throws Exception {
        for (int i = 0; i < 1_000; i++) {
            int before = kept.size();
            Exchange client = send("/ficha", "k" + before + "-" + i, "");
            next().answerAndEnd("done");
            assertEquals(client.readStatus(), 200);
            if (before > 0 && kept.size() == before) {
                return;
            }
        }
        throw new AssertionError("none is ever used again");
    }

    /** The next request that comes to a worker, on a kept connection or on a new one, is this one. */
    private void assertNextIs(String txn) throws Exception {
        Exchange client = send("/ficha", txn, "");
        Exchange next = next();
        assertEquals(next.headers.get("x-txn"), txn);
        next.answerAndEnd("done");
        assertEquals(client.readStatus(), 200);
    }
}
