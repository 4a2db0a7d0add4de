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

/** A planned end, and what is still owed to whom at each of its instants. */
public class EndingsIT extends RealTest {
    @Test
    public void aPlannedEndFinishesWhatIsOpen() throws Exception {
        start(workerA);
        Exchange early = send("/ficha?sid=1", "t1", "");
        Exchange served = workerA.accept().startAnswer("started");
        Exchange idle = idleConnection();
        Exchange stuck = send("/once", "t2", "");
        workerA.accept().startAnswer("started");
        // begun before the signal and ended after it: no machine is too slow for that
        String raw = request("/ficha?sid=1", "t3", TIME, "soup");
        Exchange late = program.client().write(raw.substring(0, 30));
        program.process.toHandle().destroy();
        program.awaitLog("phase: DRAINING");
        late.write(raw.substring(30));
        Exchange worker = workerA.accept();
        worker.startAnswer("done").endAnswer();
        assertEquals(late.readStatus(), 200);
        // whoever has a connection goes on using it
        late.write(request("/ficha?sid=1", "t4", TIME, "salt"));
        nextAttempt(worker).startAnswer("done").endAnswer();
        assertEquals(late.readStatus() + late.body, "200made salt");
        served.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(early.readStatus(), 200);
        program.awaitLog("phase: FINISHING");
        assertTrue(idle.awaitClose());
        assertEquals(stuck.readStatus(), 500);
        awaitExit();
    }

    @Test
    public void aHangUpDuringAPlannedEndDoesNotDisturbIt() throws Exception {
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
     * The platform kills a process so much the earlier as its classes' deadlines are short; ends were timed for the longest, so
     * that a worker that hung just then cost its client the answer.
     */
    @Test
    public void withShortDeadlinesTheEndComesBeforeTheKill() throws Exception {
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
        // 1.2 s are given; for 3 s and more it would take 3.5
        assertTrue(ms < 2_500, "it took " + ms + " ms");
    }

    /** Who halts over unread bytes resets the connection, and the answer that is still on its way goes with it. */
    @Test
    public void whoSendsOnAcrossTheLastAnswerStillReadsItsEnd() throws Exception {
        useDeadlines(500);
        start(workerA);
        Exchange client = send("/once", "t1", "");
        workerA.accept().startAnswer("started");
        program.signal("TERM");
        Thread sender = new Thread(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    client.write("x");
                    // more than 128 KiB ahead of an answer would be a flood
                    Thread.sleep(0, 200_000);
                }
            } catch (IOException | InterruptedException e) {
                // it is over
            }
        });
        sender.start();
        assertEquals(client.readStatus(), 500);
        assertEquals(client.input.read(), -1, "an end, and no reset");
        assertTrue(program.process.isAlive(), "it waits for us");
        sender.interrupt();
        sender.join();
        client.close();
        awaitExit();
    }

    /** Only its close was seen, and no answer. */
    @Test
    public void whoHasSentHalfARequestIsToldAtTheEnd() throws Exception {
        useDeadlines(500);
        start(workerA);
        String raw = request("/ficha", "t1", TIME, "soup");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        Exchange client = program.client().write(raw.substring(0, raw.length() - 1));
        assertEquals(client.readStatus(), 503);
        // the rest comes too late, and is not sent on
        client.write(raw.substring(raw.length() - 1));
        assertEquals(client.input.read(), -1);
        client.close();
        awaitExit();
        assertFalse(hasPendingConnection(workerA));
    }

    /** Some clients rest until they are ended, and send just then. */
    @Test
    public void aRequestThatCrossesTheShutdownIsNotSentOn() throws Exception {
        useDeadlines(500);
        start(workerA);
        Exchange client = idleConnection();
        program.signal("TERM");
        assertTrue(client.awaitClose(), "shut");
        client.write(request("/ficha", "t1", TIME, "soup"));
        assertEquals(client.readToEndOrReset(), "");
        client.close();
        awaitExit();
        assertFalse(hasPendingConnection(workerA));
    }

    /**
     * Their last words are read for as long as the process may live: who halts at once resets what crosses it. Then it ends
     * all the same, since what is told from then on is of no use to anybody.
     */
    @Test
    public void clientsThatNeverCloseAreReadOutButDoNotKeepItFromEnding() throws Exception {
        useDeadlines(2_000);
        start(workerA);
        Exchange rests = idleConnection();
        Exchange client = send("/once", "t1", "");
        Exchange worker = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: FINISHING");
        assertTrue(rests.awaitClose(), "shut");
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertEquals(client.input.read(), -1, "shut");
        awaitExit();
        long ms = between("phase: CLOSING", "phase: STOPPED").toMillis();
        // 0.35 s by its own clock; none where it halts at once
        assertTrue(ms >= 20, "it halted " + ms + " ms after its last answer");
    }

    /** Whoever is ended to make room for another has just sent a first byte: a bare close might cross the rest of its request. */
    @Test
    public void whoIsEndedToMakeRoomIsToldSo() throws Exception {
        fields.put("limits", "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":100}");
        start(workerA);
        List<Exchange> begun = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            begun.add(program.client().write("P"));
        }
        int rejected = 0;
        for (Exchange e : begun) {
            int status = e.readStatus();
            // those who are left run out of time
            assertTrue(status == 503 || status == 408, "told " + status);
            rejected += status == 503 ? 1 : 0;
        }
        assertTrue(rejected > 0, "some made room");
    }
}
