package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Graceful shutdown: what each client still receives in each of its phases. */
public class EndingsIT extends RealTest {
    @Test
    public void gracefulShutdownFinishesOpenRequests() throws Exception {
        start(workerA);
        Exchange early = send("/ficha?sid=1", "t1", "");
        Exchange openAttempt = workerA.accept().startAnswer("started");
        Exchange idle = idleConnection();
        Exchange unanswered = send("/once", "t2", "");
        workerA.accept().startAnswer("started");
        // Started before the signal and completed after it, which works on slow machines too.
        String raw = request("/ficha?sid=1", "t3", TIME, "soup");
        Exchange late = program.client().write(raw.substring(0, 30));
        program.process.toHandle().destroy();
        program.awaitLog("phase: DRAINING");
        late.write(raw.substring(30));
        Exchange worker = workerA.accept();
        worker.startAnswer("done").endAnswer();
        assertEquals(late.readStatus(), 200);
        // A client keeps using the connection that it has.
        late.write(request("/ficha?sid=1", "t4", TIME, "salt"));
        nextAttempt(worker).startAnswer("done").endAnswer();
        assertEquals(late.readStatus() + late.body, "200made salt");
        openAttempt.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(early.readStatus(), 200);
        program.awaitLog("phase: FINISHING");
        assertTrue(idle.awaitClose());
        assertEquals(unanswered.readStatus(), 500);
        awaitExit();
    }

    @Test
    public void sighupDuringGracefulShutdownHasNoEffect() throws Exception {
        start(workerA);
        Exchange client = send("/ficha?sid=1", "t1", "");
        Exchange worker = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        program.moveDiscovery();
        program.signal("HUP");
        program.acceptWatch(list(2, false));
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        client.close();
        awaitExit();
    }

    /**
     * The platform's kill comes earlier where the classes' deadlines are short. Guards against a shutdown timed for the longest
     * deadline: a client whose worker hangs during the shutdown got no answer before the kill.
     */
    @Test
    public void shortDeadlinesShortenTheShutdown() throws Exception {
        useDeadlines(500);
        start(workerA);
        Exchange client = send("/once", "t1", "");
        workerA.accept().startAnswer("started");
        Exchange idle = idleConnection();
        program.signal("TERM");
        assertEquals(client.readStatus(), 500);
        assertTrue(idle.awaitClose());
        idle.close();
        client.close();
        awaitExit();
        long ms = between("phase: DRAINING", "phase: STOPPED").toMillis();
        // The kill comes after 1.2 s; with deadlines of 3 s and more the shutdown takes 3.5 s.
        assertTrue(ms < 2_500, "the shutdown took " + ms + " ms");
    }

    /** Guards against exiting with unread bytes: that resets the connection and destroys an answer still in transit. */
    @Test
    public void clientThatKeepsSendingStillReadsTheWholeLastAnswer() throws Exception {
        useDeadlines(500);
        start(workerA);
        Exchange client = send("/once", "t1", "");
        workerA.accept().startAnswer("started");
        program.signal("TERM");
        Thread sender = new Thread(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    client.write("x");
                    // More than 128 KiB ahead of an answer counts as a flood.
                    Thread.sleep(0, 200_000);
                }
            } catch (IOException | InterruptedException e) {
                // The connection was closed or the test has ended.
            }
        });
        sender.start();
        assertEquals(client.readStatus(), 500);
        assertEquals(client.input.read(), -1, "the connection must end without a reset");
        assertTrue(program.process.isAlive(), "the process must wait for the client to close");
        sender.interrupt();
        sender.join();
        client.close();
        awaitExit();
    }

    /** Guards against closing a connection with a partial request without an answer. */
    @Test
    public void partialRequestIsRejectedAtShutdown() throws Exception {
        useDeadlines(500);
        start(workerA);
        String raw = request("/ficha", "t1", TIME, "soup");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        Exchange client = program.client().write(raw.substring(0, raw.length() - 1));
        assertEquals(client.readStatus(), 503);
        // The rest arrives too late and is not forwarded.
        client.write(raw.substring(raw.length() - 1));
        assertEquals(client.input.read(), -1);
        client.close();
        awaitExit();
        assertFalse(hasPendingConnection(workerA));
    }

    /** A client that was idle sends a request just after its connection was shut down. */
    @Test
    public void requestSentAfterTheConnectionWasShutDownIsNotForwarded() throws Exception {
        useDeadlines(500);
        start(workerA);
        Exchange client = idleConnection();
        program.signal("TERM");
        assertTrue(client.awaitClose(), "the connection was not shut down");
        client.write(request("/ficha", "t1", TIME, "soup"));
        assertEquals(client.readToEndOrReset(), "");
        client.close();
        awaitExit();
        assertFalse(hasPendingConnection(workerA));
    }

    /**
     * Data in transit is read until the closing timeout, since an immediate exit resets connections with unread data. Clients
     * that stay connected do not delay the exit beyond it.
     */
    @Test
    public void unreadDataIsDrainedButOpenClientsDoNotPreventExit() throws Exception {
        useDeadlines(2_000);
        start(workerA);
        Exchange idle = idleConnection();
        Exchange client = send("/once", "t1", "");
        Exchange worker = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: FINISHING");
        assertTrue(idle.awaitClose(), "the connection was not shut down");
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertEquals(client.input.read(), -1, "the connection was not shut down");
        awaitExit();
        long ms = between("phase: CLOSING", "phase: STOPPED").toMillis();
        // The closing timeout is 0.35 s; an immediate exit takes no time.
        assertTrue(ms >= 20, "the process exited " + ms + " ms after its last answer");
    }

    /** A client closed to make room for another may just have sent a first byte. It gets a 503: a bare close could cross the rest of its request. */
    @Test
    public void clientClosedToMakeRoomGetsAnAnswer() throws Exception {
        fields.put("limits", "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":100}");
        start(workerA);
        List<Exchange> partial = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            partial.add(program.client().write("P"));
        }
        int rejected = 0;
        for (Exchange e : partial) {
            int status = e.readStatus();
            // The remaining ones are timed out.
            assertTrue(status == 503 || status == 408, "unexpected status " + status);
            rejected += status == 503 ? 1 : 0;
        }
        assertTrue(rejected > 0, "no client was closed to make room");
    }
}
