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

/** What tests of rare moments share: the real program, two workers, and a hand on its process, which can be made to stand still. */
class RealTest {
    static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 2000\r\n";
    static final String LIMITS = "\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"idleCloseMs\":60000";
    final Map<String, String> fields = new HashMap<>();
    Worker workerA;
    Worker workerB;
    RealProgram program;

    @BeforeMethod
    public void workers() throws IOException {
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

    /** Classes whose deadlines are no longer than this. */
    void useDeadlines(long ms) {
        fields.put("settings", RealProgram.settings(LIMITS).replaceAll("\"deadlineMs\":[0-9]+", "\"deadlineMs\":" + ms));
    }

    Exchange send(String target, String txn, String more) throws IOException {
        return program.client().write(request(target, txn, TIME + more, "soup"));
    }

    /** A kept client connection with nothing owed on it. */
    Exchange idleConnection() throws IOException {
        Exchange e = program.client().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        if (e.readStatus() != 200) {
            throw new AssertionError(e.firstLine);
        }
        return e;
    }

    /** The process stands still: what others do from now on waits in its sockets, and is there all at once when it goes on. */
    void pauseProcess() throws Exception {
        program.signal("STOP");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        while (!stopped()) {
            if (System.nanoTime() - until > 0) {
                throw new AssertionError("it does not stand still");
            }
            Thread.onSpinWait();
        }
    }

    /** Each of its threads stops by itself; the process's own state tells of the first alone. */
    private boolean stopped() throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + program.process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                String stat;
                try {
                    stat = Files.readString(thread.resolve("stat"));
                } catch (IOException e) {
                    continue; // it ended in between
                }
                if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
                    return false;
                }
            }
        }
        return true;
    }

    /** Sends a signal to any process; it has been sent on return. */
    static void signal(Process to, String name) throws IOException, InterruptedException {
        if (new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + to.pid()).start().waitFor() != 0) {
            throw new IOException("signal " + name + " could not be sent");
        }
    }

    void resumeProcess() throws IOException {
        program.signal("CONT");
    }

    /** The attempt that comes next, on one of these connections or on a new one to either worker; read. */
    Exchange nextAttempt(Exchange... kept) throws Exception {
        try {
            // each is looked at for a moment, in turn
            workerA.server.setSoTimeout(5);
            workerB.server.setSoTimeout(5);
            long until = System.nanoTime() + RealProgram.TIMEOUT_S * 1_000_000_000L;
            while (System.nanoTime() - until < 0) {
                for (Exchange e : kept) {
                    if (e.input.available() > 0) {
                        e.read();
                        return e;
                    }
                }
                for (Worker p : new Worker[] {workerA, workerB}) {
                    try {
                        Exchange e = p.accept();
                        if (e.firstLine != null) {
                            return e;
                        }
                        // given up before a byte was written on it: no attempt has begun
                        e.close();
                    } catch (SocketTimeoutException e) {
                        // not here
                    }
                }
            }
        } finally {
            workerA.server.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
            workerB.server.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
        }
        throw new AssertionError("no attempt came");
    }

    void awaitExit() throws InterruptedException {
        if (!program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS) || program.process.exitValue() != 0) {
            throw new AssertionError("it has not ended in order");
        }
    }

    /** By the program's own word, how long it took from one line of its log to a later one. */
    Duration between(String from, String to) throws InterruptedException {
        return Duration.between(at(program.hasLogged(from)), at(program.hasLogged(to)));
    }

    private static Instant at(String line) {
        return Instant.parse(line.substring(0, line.indexOf(' ')));
    }

    /** Whether anybody has connected to a worker that nobody accepted yet; for when the program has ended, or cannot any more. */
    static boolean hasPendingConnection(Worker p) throws IOException {
        p.server.setSoTimeout(1);
        try {
            p.server.accept().close();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
