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

/** Graceful shutdown under faults: every request that the stopping process received is answered before it exits. */
public class StoppingNodeIT extends FaultTest {
    private static final long DEADLINE_MS = 3_000, KILL_AFTER_MS = DEADLINE_MS + 700, PAUSE_MS = 150, START_DELAY_MS = 500;

    /** Sends SIGTERM and returns the time in nanoseconds; the platform kills the process a fixed time after it. */
    private long terminate() throws Exception {
        long at = System.nanoTime();
        signal(program.process, "TERM");
        return at;
    }

    private static void assertFinal(int status) {
        assertTrue(status == 200 || status == 500 || status == 503, "unexpected status " + status);
    }

    private void killAt(long fromNs) throws Exception {
        sleepUntil(fromNs, KILL_AFTER_MS);
        program.process.destroyForcibly();
    }

    @DataProvider
    public Object[][] acceptErrors() {
        return new Object[][] {{Errno.ENFILE}, {Errno.EINTR}, {Errno.ECONNABORTED}};
    }

    /** Guards against closing the listener with connections still queued, after accept failed or was interrupted while emptying the queue. */
    @Test(dataProvider = "acceptErrors")
    public void queuedRequestIsAnsweredWhenAcceptFailsWhileTheListenerCloses(Errno error) throws Exception {
        useDeadlines(DEADLINE_MS);
        startWithFaults();
        terminate();
        program.awaitLog("phase: DRAINING");
        faults.enable(SystemCallFault.ACCEPT, error);
        Exchange client = send("/ficha", "t1", "");
        sleepUntil(System.nanoTime(), DEADLINE_MS + 300);
        assertTrue(faults.injected(SystemCallFault.ACCEPT) > 0, "no accept call has failed");
        faults.disable(SystemCallFault.ACCEPT);
        assertFinal(client.readStatus());
        awaitExit();
    }

    /** Guards against the event loop blocking until the kill in an accept call that the JDK retries on ECONNABORTED. */
    @Test
    public void acceptedRequestIsAnsweredBeforeTheKillWhenEveryAcceptIsAborted() throws Exception {
        useDeadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/once", "t1", "");
        workerA.accept().startAnswer("started");
        faults.enable(SystemCallFault.ACCEPT, Errno.ECONNABORTED);
        program.client();
        while (faults.injected(SystemCallFault.ACCEPT) == 0) {
            Thread.onSpinWait();
        }
        long terminatedAtNs = terminate();
        assertFinal(client.readStatus());
        assertTrue(System.nanoTime() - terminatedAtNs < KILL_AFTER_MS * 1_000_000, "the answer arrived after the kill");
    }

    /** Guards against exiting without reading the sockets when all shutdown timers expire in one loop iteration after a pause. */
    @Test
    public void requestReceivedDuringAPauseIsAnsweredBeforeExit() throws Exception {
        useDeadlines(DEADLINE_MS);
        start(workerA);
        long terminatedAtNs = terminate();
        program.awaitLog("phase: DRAINING");
        pauseProcess();
        Exchange client = send("/ficha", "t1", "");
        sleepUntil(terminatedAtNs, DEADLINE_MS + 350);
        resumeProcess();
        assertFinal(client.readStatus());
        awaitExit();
    }

    /** Guards against last answers after the kill when the process is paused at SIGTERM and again during its writes. */
    @Test
    public void lastAnswersAreSentBeforeTheKillWhenTheProcessIsDelayed() throws Exception {
        useDeadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/once", "t1", "");
        workerA.accept().startAnswer("started");
        pauseProcess();
        long terminatedAtNs = terminate();
        sleepUntil(terminatedAtNs, PAUSE_MS);
        resumeProcess();
        faults.enable(SystemCallFault.HELD_WRITE, 100, (int) PAUSE_MS);
        Thread killer = new Thread(() -> {
            try {
                killAt(terminatedAtNs);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        killer.start();
        assertEquals(client.readStatus(), 500);
        killer.join();
    }

    /** A connection that has not carried a request yet is not closed while its first request is on the way. */
    @Test
    public void firstRequestOfANewConnectionIsAnsweredDuringShutdown() throws Exception {
        useDeadlines(DEADLINE_MS);
        start(workerA);
        long terminatedAtNs = terminate();
        // A client that sends nothing for 2.8 s is timed out.
        sleepUntil(terminatedAtNs, DEADLINE_MS - 1_000);
        Exchange client = program.client();
        program.awaitLog("phase: FINISHING");
        client.write(request("/ficha", "t1", TIME, "soup"));
        assertFinal(client.readStatus());
    }

    /** SIGHUP, SIGTERM and SIGINT in quick succession. */
    @Test
    public void repeatedSignalsLoseNoRequest() throws Exception {
        useDeadlines(DEADLINE_MS);
        start(workerA);
        Exchange client = send("/ficha", "t1", "");
        Exchange worker = workerA.accept().startAnswer("started");
        for (String name : new String[] {"HUP", "TERM", "HUP", "TERM", "INT", "HUP", "TERM"}) {
            signal(program.process, name);
        }
        program.awaitLog("phase: DRAINING");
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        client.close();
        awaitExit();
    }

    /** The shutdown timers use monotonic time: a step of the wall clock neither shortens nor lengthens them. */
    @Test
    public void wallClockStepDoesNotShortenTheShutdown() throws Exception {
        useDeadlines(DEADLINE_MS);
        startWithFaults();
        Exchange client = send("/ficha", "t1", "");
        Exchange worker = workerA.accept().startAnswer("started");
        terminate();
        program.awaitLog("phase: DRAINING");
        faults.enable(SystemCallFault.WALL_CLOCK, 100, 3600);
        Exchange late = send("/ficha", "t2", "");
        Exchange second = workerA.accept().startAnswer("started");
        faults.enable(SystemCallFault.WALL_CLOCK, 100, -3600);
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        second.writeLines("{\"id\":\"t2\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus() + late.readStatus(), 400);
        client.close();
        late.close();
        awaitExit();
    }

    /** Guards against dropping a client in the listener's queue when SIGTERM arrives before the selector thread runs. */
    @Test
    public void sigtermDuringStartupStillAnswersConnectedClients() throws Exception {
        useDeadlines(DEADLINE_MS);
        Path folder = Files.createTempDirectory("start");
        Path jar = PatchedJar.build(Path.of("target/granitefold.jar"), folder, "slow-start", new PatchedJar.Patch("net/EventLoop.java",
                "        selectorThread.start();", "        Thread.sleep(" + START_DELAY_MS + ");\n        selectorThread.start();"));
        program = new RealProgram(null, Map.of(RealProgram.JAR_VARIABLE, jar.toString()), fields, workerA);
        Exchange client = program.connect(program.addressIn(" listening on "), null);
        client.write(request("/ficha", "t1", TIME, "soup"));
        terminate();
        Exchange worker = workerA.accept();
        worker.startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
        client.close();
        awaitExit();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
