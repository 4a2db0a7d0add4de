package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.faults.Errno;
import granitefold.standin.faults.SystemCallFault;
import granitefold.standin.ground.PatchedJar;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests that a stopping process had taken, with faults just then: each is answered before the process ends. */
public class StoppingNodeIT extends FaultTest {
    private static final long DEADLINE_MS = 3_000, KILLED_MS = DEADLINE_MS + 700, HELD_MS = 150, START_MS = 500;

    /** Sends SIGTERM; from then on the platform's time up to its kill runs. */
    private long terminate() throws Exception {
        long at = System.nanoTime();
        signal(program.process, "TERM");
        return at;
    }

    private static void assertFinal(int status) {
        assertTrue(status == 200 || status == 500 || status == 503, "answered " + status);
    }

    private void killAt(long fromNs) throws Exception {
        sleepUntil(fromNs, KILLED_MS);
        program.process.destroyForcibly();
    }

    @DataProvider
    public Object[][] failing() {
        return new Object[][] {{Errno.ENFILE}, {Errno.EINTR}, {Errno.ECONNABORTED}};
    }

    /** The listener was closed over its queue when a call of accept failed, or was interrupted, while it was emptied. */
    @Test(dataProvider = "failing")
    public void aQueuedRequestIsAnsweredThoughAcceptFailsAsTheListenerCloses(Errno error) throws Exception {
        deadlines(DEADLINE_MS);
        startWithFaults();
        terminate();
        program.awaitLog("phase: DRAINING");
        faults.enable(SystemCallFault.ACCEPT, error);
        Exchange client = send("/ficha", "t1", "");
        sleepUntil(System.nanoTime(), DEADLINE_MS + 300);
        assertTrue(faults.injected(SystemCallFault.ACCEPT) > 0, "no call of accept has failed");
        faults.disable(SystemCallFault.ACCEPT);
        assertFinal(client.status());
        awaitEnd();
    }

    /** The loop stood still in a call of accept that the JDK repeated, until the kill. */
    @Test
    public void whatWasTakenIsAnsweredThoughEveryAcceptIsAbortedUntilTheKill() throws Exception {
        deadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/once", "t1", "");
        a.accept().answer("started");
        faults.enable(SystemCallFault.ACCEPT, Errno.ECONNABORTED);
        program.client();
        while (faults.injected(SystemCallFault.ACCEPT) == 0) {
            Thread.onSpinWait();
        }
        long told = terminate();
        assertFinal(client.status());
        assertTrue(System.nanoTime() - told < KILLED_MS * 1_000_000, "the answer came after the kill");
    }

    /** After a pause all of an end's timers fired in one turn, and the process halted before it had looked into its sockets. */
    @Test
    public void aRequestThatCameDuringAPauseIsAnsweredBeforeTheEnd() throws Exception {
        deadlines(DEADLINE_MS);
        start(a);
        long told = terminate();
        program.awaitLog("phase: DRAINING");
        standStill();
        Exchange client = send("/ficha", "t1", "");
        sleepUntil(told, DEADLINE_MS + 350);
        goOn();
        assertFinal(client.status());
        awaitEnd();
    }

    /** Held up when it is told and once more as it answers: the last answers came after the kill. */
    @Test
    public void theLastAnswersComeBeforeTheKillThoughTheProcessIsHeldUp() throws Exception {
        deadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/once", "t1", "");
        a.accept().answer("started");
        standStill();
        long told = terminate();
        sleepUntil(told, HELD_MS);
        goOn();
        faults.enable(SystemCallFault.HELD_WRITE, 100, (int) HELD_MS);
        Thread killer = new Thread(() -> {
            try {
                killAt(told);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        killer.start();
        assertEquals(client.status(), 500);
        killer.join();
    }

    /** A connection that was never used is not shut under the request that it is about to bring. */
    @Test
    public void aNewConnectionsFirstRequestIsAnsweredToTheEnd() throws Exception {
        deadlines(DEADLINE_MS);
        start(a);
        long told = terminate();
        // a client that says nothing for 2.8 s is a bad one
        sleepUntil(told, DEADLINE_MS - 1_000);
        Exchange client = program.client();
        program.awaitLog("phase: FINISHING");
        client.write(request("/ficha", "t1", TIME, "soup"));
        assertFinal(client.status());
    }

    /** More signals than one, of several kinds, in any order. */
    @Test
    public void signalsInSeriesLoseNothing() throws Exception {
        deadlines(DEADLINE_MS);
        start(a);
        Exchange client = send("/ficha", "t1", "");
        Exchange worker = a.accept().answer("started");
        for (String name : new String[] {"HUP", "TERM", "HUP", "TERM", "INT", "HUP", "TERM"}) {
            signal(program.process, name);
        }
        program.awaitLog("phase: DRAINING");
        worker.lines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").end();
        assertEquals(client.status(), 200);
        client.close();
        awaitEnd();
    }

    /** An end's times are spans: no step of the wall clock shortens or lengthens them. */
    @Test
    public void aSteppedWallClockDoesNotEndItEarly() throws Exception {
        deadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/ficha", "t1", "");
        Exchange worker = a.accept().answer("started");
        terminate();
        program.awaitLog("phase: DRAINING");
        faults.enable(SystemCallFault.WALL_CLOCK, 100, 3600);
        Exchange late = send("/ficha", "t2", "");
        Exchange second = a.accept().answer("started");
        faults.enable(SystemCallFault.WALL_CLOCK, 100, -3600);
        worker.lines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").end();
        second.lines("{\"id\":\"t2\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").end();
        assertEquals(client.status() + late.status(), 400);
        client.close();
        late.close();
        awaitEnd();
    }

    /** Told to end before its selector ran, the process broke off with a client in the listener's queue. */
    @Test
    public void aTermDuringTheStartStillAnswersWhoHasConnected() throws Exception {
        deadlines(DEADLINE_MS);
        Path folder = Files.createTempDirectory("start");
        Path jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "slow-start", new PatchedJar.Patch("net/EventLoop.java",
                "        selectorThread.start();", "        Thread.sleep(" + START_MS + ");\n        selectorThread.start();"));
        program = new RealProgram(null, Map.of(RealProgram.JAR, jar.toString()), fields, a);
        Exchange client = program.connect(program.addressIn(" listening on "), null);
        client.write(request("/ficha", "t1", TIME, "soup"));
        terminate();
        Exchange worker = a.accept();
        worker.answer("done").end();
        assertEquals(client.status(), 200);
        client.close();
        awaitEnd();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
