package granitefold.real;

import static granitefold.real.RealProgram.request;

import granitefold.real.RealProgram.Worker;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base of the tests of the built program: its process, which can be paused and resumed, and two workers. */
class RealTest {
    static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 2000\r\n";
    static final String LIMITS = "\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"idleCloseMs\":60000";
    final Map<String, String> fields = new HashMap<>();
    Worker workerA;
    Worker workerB;
    RealProgram program;

    @BeforeMethod
    public void createWorkers() throws IOException {
        fields.clear();
        workerA = new Worker("s-a");
        workerB = new Worker("s-b");
        workerB.status = "removed";
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        if (program != null) {
            program.close();
        }
        workerA.close();
        workerB.close();
    }

    Exchange start(Worker... known) throws Exception {
        program = new RealProgram(fields, known);
        return program.awaitServing();
    }

    /** Sets the deadline of every class. */
    void useDeadlines(long ms) {
        fields.put("settings", RealProgram.settings(LIMITS).replaceAll("\"deadlineMs\":[0-9]+", "\"deadlineMs\":" + ms));
    }

    Exchange send(String target, String txn, String more) throws IOException {
        return program.client().write(request(target, txn, TIME + more, "soup"));
    }

    /** Opens a client connection that is idle after one answered request. */
    Exchange idleConnection() throws IOException {
        Exchange e = program.client().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        if (e.readStatus() != 200) {
            throw new AssertionError(e.firstLine);
        }
        return e;
    }

    /** Pauses the process: events queue up in its sockets and are all pending when it resumes. */
    void pauseProcess() throws Exception {
        program.signal("STOP");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        while (!stopped()) {
            if (System.nanoTime() - until > 0) {
                throw new AssertionError("the process did not stop");
            }
            Thread.onSpinWait();
        }
    }

    /** Checks every thread: threads stop one by one, and the state of the process is that of its first thread only. */
    private boolean stopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + program.process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                String stat;
                try {
                    stat = Files.readString(thread.resolve("stat"));
                } catch (IOException e) {
                    continue; // The thread has ended meanwhile.
                }
                if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    /** Sends a signal to a process and returns once it is sent. */
    static void signal(Process to, String name) throws IOException, InterruptedException {
        if (new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + to.pid()).start().waitFor() != 0) {
            throw new IOException("signal " + name + " could not be sent");
        }
    }

    void resumeProcess() throws IOException {
        program.signal("CONT");
    }

    /** Waits for the next attempt, on one of these connections or a new one to either worker, and reads it. */
    Exchange nextAttempt(Exchange... knownConnections) throws Exception {
        try {
            // Polls each worker in turn.
            workerA.server.setSoTimeout(5);
            workerB.server.setSoTimeout(5);
            long until = System.nanoTime() + RealProgram.TIMEOUT_S * 1_000_000_000L;
            while (System.nanoTime() - until < 0) {
                for (Exchange e : knownConnections) {
                    if (e.input.available() > 0) {
                        e.read();
                        return e;
                    }
                }
                for (Worker worker : new Worker[] {workerA, workerB}) {
                    try {
                        Exchange e = worker.accept();
                        if (e.firstLine != null) {
                            return e;
                        }
                        // Closed before a byte was written: no attempt has started.
                        e.close();
                    } catch (SocketTimeoutException e) {
                        // No connection at this worker yet.
                    }
                }
            }
        } finally {
            workerA.server.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
            workerB.server.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
        }
        throw new AssertionError("no attempt arrived");
    }

    void awaitExit() throws InterruptedException {
        if (!program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS) || program.process.exitValue() != 0) {
            throw new AssertionError("the process did not exit with status 0 in time");
        }
    }

    /** Returns the time between two log lines by the program's own timestamps. */
    Duration between(String from, String to) throws InterruptedException {
        return Duration.between(timestamp(program.hasLogged(from)), timestamp(program.hasLogged(to)));
    }

    private static Instant timestamp(String line) {
        return Instant.parse(line.substring(0, line.indexOf(' ')));
    }

    /** Returns whether a connection to a worker is waiting to be accepted; for use when the program can open no further one. */
    static boolean hasPendingConnection(Worker worker) throws IOException {
        worker.server.setSoTimeout(1);
        try {
            worker.server.accept().close();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
