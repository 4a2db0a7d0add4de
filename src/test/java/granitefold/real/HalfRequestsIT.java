package granitefold.real;

import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A client that stops within a request and stays gets an error or a close in time, whatever it has sent before on its connection. */
public final class HalfRequestsIT extends RealTest {
    /** The time from the last answer in which such a client gets an error or a close. */
    private static final int OWED_MS = 3_000;
    private static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    /** More than a connection may process in one turn. */
    private static final int MANY = 40;
    /** The time for a health check to reach the event loop. */
    private static final int BEGIN_MS = 100;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int BODY_BYTES = 64 * 1024;
    /** With its head it takes more than the smallest buffer, and less than what is counted as the memory of a request. */
    private static final int SMALL_BODY_BYTES = 4_500;
    private static final Map<String, String> HALF_LIMITS = Map.of("limits", "{\"cores\":1.0,\"memory_mb\":96,\"sockets\":512}");
    /** How long large requests may be rejected after the last client of a crowd has stopped: well below the time limit that ends the crowd. */
    private static final int MAX_REJECTED_MS = 1_000;
    /** Halves of this size, each in a buffer of 64 KiB, nearly fill the memory for requests at the limits above. */
    private static final int HALF_BYTES = 50_000, HALF_MEMORY_BYTES = 60 * 1024, LARGE_CROWD = 104;
    private static final int CROWD = 200, LARGE_REQUESTS = 10;

    private int lastId;

    private String job(String fields, String body) {
        return request("/ficha", "half-" + ++lastId, fields, body);
    }

    private static int millisUntil(long endNs) {
        return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNs - System.nanoTime()));
    }

    private static long owedUntilNs() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OWED_MS);
    }

    /** Returns whether an error or a close comes until then. */
    private static boolean isErrorOrClose(Exchange client, long endNs) throws IOException {
        client.socket.setSoTimeout(millisUntil(endNs));
        try {
            return client.read() == null || client.lastStatus() >= FIRST_ERROR_STATUS;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    /** What a client sends, all of it at once, and how many answers come before the half request matters. */
    private record Play(String name, String whole, int answers, Exchange client) { }

    /** Guards against half a request that came behind a whole one and was taken for idle: it got neither an error nor a close. */
    @Test
    public void halfARequestBehindAnAnsweredOneGetsAnErrorOrClose() throws Exception {
        start(workerA);
        workerA.serve("done");
        List<Play> plays = new ArrayList<>();
        for (int cut : new int[] {1, 30, -2}) {
            plays.add(play("job", cut, job(TIME, "soup"), 1));
            plays.add(play("rejected job", cut, job("X-Remaining-Ms: 0\r\n", "soup"), 1));
            plays.add(play("health check", cut, HEALTH_CHECK, 1));
            plays.add(play("more health checks than a turn has", cut, HEALTH_CHECK.repeat(MANY), MANY));
        }
        List<String> unanswered = new ArrayList<>();
        for (Play play : plays) {
            for (int i = 0; i < play.answers; i++) {
                play.client.read();
            }
        }
        long endNs = owedUntilNs();
        for (Play play : plays) {
            if (!isErrorOrClose(play.client, endNs)) {
                unanswered.add(play.name);
            }
        }
        assertTrue(unanswered.isEmpty(), "neither error nor close: " + unanswered);
    }

    private Play play(String name, int cut, String whole, int answers) throws IOException {
        String half = job(TIME, "soup");
        String part = half.substring(0, cut < 0 ? half.length() + cut : cut);
        return new Play(name + " and " + part.length() + " bytes", whole, answers, program.client().write(whole + part));
    }

    /** Guards against a time limit that takes the second request from a client that sends its rest in time. */
    @Test
    public void halfARequestWhoseRestComesInTimeIsServed() throws Exception {
        start(workerA);
        workerA.serve("done");
        String second = job(TIME, "salt");
        Exchange client = program.client().write(job(TIME, "soup") + second.substring(0, second.length() / 2));
        assertEquals(client.readStatus(), 200);
        TimeUnit.MILLISECONDS.sleep(OWED_MS / 2);
        client.write(second.substring(second.length() / 2));
        assertEquals(client.readStatus() + client.body, "200made salt");
    }

    /** Guards against a time limit that is over once a busy loop has read the first turn of a large request, all of which has arrived. */
    @Test
    public void wholeRequestThatABusyLoopReadsLateIsServed() throws Exception {
        try (BusyLoop busyLoop = new BusyLoop(TimeUnit.MILLISECONDS.toNanos(OWED_MS))) {
            program = new RealProgram(null, busyLoop.environment(), fields, workerA);
            program.awaitServing();
            workerA.serve("done");
            Exchange client = program.client().write(job(TIME, "soup"));
            assertEquals(client.readStatus(), 200);
            Exchange healthCheck = program.client().write(HEALTH_CHECK);
            TimeUnit.MILLISECONDS.sleep(BEGIN_MS);
            client.write(job(TIME, "x".repeat(BODY_BYTES - 1_000)));
            assertEquals(healthCheck.readStatus(), 200);
            assertEquals(client.readStatus(), 200);
        }
    }

    /** Guards against a half that stays open through a planned end: the process waited for it, or ended without a word. */
    @Test
    public void halfARequestBehindAnAnsweredOneEndsBeforeThePlannedEnd() throws Exception {
        start(workerA);
        Exchange client = program.client().write(job(TIME, "soup") + job(TIME, "salt").substring(0, 30));
        Exchange attempt = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        attempt.writeLines("{\"id\":\"" + attempt.headers.get("x-txn") + "\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertTrue(isErrorOrClose(client, owedUntilNs()));
        client.close();
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Guards against memory of half requests that no limit finds: sound clients were rejected beside a crowd of them. */
    @Test
    public void largeRequestsAreServedBesideACrowdOfHalvesBehindAnsweredRequests() throws Exception {
        fields.putAll(HALF_LIMITS);
        fields.put("ops", "\"127.0.0.1:0\"");
        program = new RealProgram(fields, workerA);
        InetSocketAddress ops = program.addressIn("checks: ops on ");
        program.awaitServing();
        CountDownLatch halvesRead = new CountDownLatch(1);
        workerA.serveAfter(() -> awaitUninterruptibly(halvesRead), "done");
        String half = job(TIME, "x".repeat(BODY_BYTES)).substring(0, HALF_BYTES);
        List<Exchange> crowd = new ArrayList<>();
        pauseProcess();
        for (int i = 0; i < LARGE_CROWD; i++) {
            crowd.add(program.client().write(job(TIME, "soup") + half));
        }
        resumeProcess();
        awaitRequestMemory(ops, LARGE_CROWD * HALF_MEMORY_BYTES);
        halvesRead.countDown();
        for (Exchange client : crowd) {
            client.readStatus();
        }
        assertLargeRequestsAreServed();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await(RealProgram.TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the program holds this much for requests. */
    private void awaitRequestMemory(InetSocketAddress ops, int bytes) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        long heldBytes = 0;
        while (heldBytes < bytes) {
            assertTrue(System.nanoTime() - endNs < 0, heldBytes + " bytes are held");
            try (Exchange call = program.connect(ops, null).write("vars\n")) {
                heldBytes = new ObjectMapper().readTree(call.readToEnd().lines().findFirst().orElseThrow()).get("memory").get("requests").asLong();
            }
        }
    }

    /** Guards against buffers that stay large and reserved after what was read ahead is parsed: halves that need little took the memory of others. */
    @Test
    public void largeRequestsAreServedBesideHalvesBehindManyRequests() throws Exception {
        fields.putAll(HALF_LIMITS);
        start(workerA);
        workerA.serve("done");
        String rejected = job("X-Remaining-Ms: 0\r\n", "x".repeat(1_000));
        String half = job(TIME, "x".repeat(SMALL_BODY_BYTES));
        String behind = rejected.repeat(MANY) + half.substring(0, half.length() - 1);
        for (int i = 0; i < CROWD; i++) {
            Exchange client = program.client().write(job(TIME, "soup") + behind);
            for (int answers = 0; answers <= MANY; answers++) {
                assertTrue(client.read() != null, "client " + i + " has " + answers + " answers");
            }
        }
        assertLargeRequestsAreServed();
    }

    /** Halves count as stalled some time after they came, and are rejected in groups: until then large requests may be rejected. */
    private void assertLargeRequestsAreServed() throws IOException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_REJECTED_MS);
        while (!areLargeRequestsServed()) {
            assertTrue(System.nanoTime() - endNs < 0, "large requests are rejected for over " + MAX_REJECTED_MS + " ms");
        }
        assertTrue(areLargeRequestsServed());
    }

    /** Sends some large requests at the same time; returns whether all are served. */
    private boolean areLargeRequestsServed() throws IOException {
        List<Exchange> clients = new ArrayList<>();
        for (int i = 0; i < LARGE_REQUESTS; i++) {
            clients.add(program.client().write(job(TIME, "x".repeat(BODY_BYTES - 1_000))));
        }
        boolean served = true;
        for (Exchange client : clients) {
            served &= client.readStatus() == 200;
            client.close();
        }
        return served;
    }
}
