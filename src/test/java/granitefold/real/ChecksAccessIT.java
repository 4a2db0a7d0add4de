package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.real.RealProgram.Worker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Who may say what to the checks: PROXY headers, the control socket, the operator's file; and what workers are taken for by probes and attempts. */
public class ChecksAccessIT extends RealChecks {
    private static byte[] v2(int length, int... rest) {
        ByteBuffer b = ByteBuffer.allocate(16 + rest.length);
        b.put(new byte[] {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A, 0x21, 0x11});
        b.putShort((short) length);
        for (int r : rest) {
            b.put((byte) r);
        }
        return b.array();
    }

    @Test
    public void aProxyHeaderIsDemandedAndTakenApart() throws Exception {
        start("clients.proxy-protocol = required\n");
        String job = request("/ficha", "t1", TIME, "soup");
        Exchange without = program.client().write(job);
        assertTrue(without.awaitClose());
        assertTrue(program.awaitLog("refused").contains("no PROXY header"));
        Exchange half = program.client().write("PROXY TCP4 10.0.0.1 10.");
        Exchange wrong = program.client();
        wrong.socket.getOutputStream().write(v2(11, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0));
        assertTrue(wrong.awaitClose());
        // version 2 with an extension that nobody knows, in two parts, then the request
        byte[] good = v2(17, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0, 81, 0xEE, 0, 2, 7, 7);
        Exchange client = program.client();
        client.socket.getOutputStream().write(good, 0, 14);
        client.socket.getOutputStream().write(good, 14, good.length - 14);
        client.write(job);
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus() + client.body, "200made soup");
        Exchange bad = program.client().write("PROXY TCP4 10.7.7.7 10.0.0.2 5555 80\r\nnonsense\r\n\r\n");
        assertEquals(bad.readStatus(), 400);
        assertTrue(program.awaitLog("10.7.7.7:5555 refused") != null);
        // a balancer's own check
        Exchange local = program.client();
        local.socket.getOutputStream().write(new byte[] {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A,
            0x20, 0, 0, 0});
        local.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(local.readStatus(), 200);
        assertTrue(half.awaitClose(), "silence within a header ends it");
    }

    @Test
    public void onlyNamedProxiesAreHeard() throws Exception {
        start("clients.proxy-protocol = required\nclients.proxy-from = [\"127.0.0.9\"]\n");
        assertTrue(program.client().write("PROXY UNKNOWN\r\n" + request("/ficha", "t1", TIME, "")).awaitClose());
        Exchange named = program.connect((InetSocketAddress) program.client().socket.getRemoteSocketAddress(), "127.0.0.9");
        named.write("PROXY UNKNOWN\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(named.readStatus(), 200);
    }

    // ---------------------------------------------------------------- control
    @Test
    public void theControlSocketIsThisUsersAloneAndALiveOneIsNeverTakenOver() throws Exception {
        start(control());
        assertEquals(PosixFilePermissions.toString(Files.getPosixFilePermissions(socket())), "rw-------");
        assertTrue(command("nonsense").contains("\"error\""));
        assertTrue(command("x".repeat(500)).contains("\"error\""));
        try (RealProgram second = new RealProgram(control(), Map.of())) {
            assertTrue(second.awaitLog("bad configuration").contains("another process holds it"));
            assertTrue(second.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(second.process.exitValue(), 2);
        }
        assertTrue(command("status").contains("\"standing\""), "the first one still answers");
        program.process.destroyForcibly().waitFor();
        assertTrue(Files.exists(socket()), "a killed process leaves it");
        program.close();
        start(control());
        assertTrue(command("status").contains("\"standing\""), "what it left is replaced");
    }

    @Test
    public void aFileThatIsNoSocketIsNotTouched() throws Exception {
        Files.writeString(socket(), "mine");
        program = new RealProgram(control(), fields);
        assertTrue(program.awaitLog("bad configuration").contains("no socket"));
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(Files.readString(socket()), "mine");
    }

    @Test
    public void aBrokenOperatorFileIsALineAProblemAndStatusTwo() throws Exception {
        program = new RealProgram("log.format = yaml\nprobe.intervall = 2s\n", fields);
        assertTrue(program.awaitLog("granitefold: ").contains(":1: log.format: yaml is not allowed"));
        assertTrue(program.awaitLog("granitefold: ").contains(":2: probe.intervall: unknown key; did you mean probe.interval?"));
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 2);
    }

    @Test
    public void logLinesAreJsonWhereAskedFor() throws Exception {
        program = new RealProgram("log.format = json\n", fields, workerA);
        String line = program.awaitLog("\"event\":\"phase\"");
        assertEquals(new ObjectMapper().readTree(line).get("phase").asText(), "SERVING");
        assertEquals(new ObjectMapper().readTree(line).get("level").asText(), "INFO");
    }

    // ---------------------------------------------------------------- workers
    private static final String PROBES = "probe.allowed = true\nprobe.interval = 50ms\nprobe.timeout = 200ms\nprobe.panic = 0.6\n";

    /** What a probe finds on a worker: the next connection there, read and answered. */
    private static void probe(Worker worker, int status) throws IOException {
        Exchange e = worker.accept();
        assertEquals(e.firstLine, "GET /healthz HTTP/1.1");
        e.write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    public void aWorkerWhoseProbesFailGetsNothingUntilTheySucceed() throws Exception {
        fields.put("settings", RealProgram.settings("\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"probing\":true"));
        try (Worker b = new Worker("s-b")) {
            program = new RealProgram(LISTEN + PROBES, fields, workerA, b);
            program.addressIn("checks: agent on");
            program.addressIn("checks: http on");
            program.acceptWatch(list(1, false));
            workerA.serve("done");
            for (int i = 0; i < 3; i++) {
                probe(b, 503);
            }
            assertTrue(program.awaitLog("worker: s-b is DOWN").contains("503"));
            for (int i = 0; i < 2; i++) {
                probe(b, 200);
            }
            program.awaitLog("worker: s-b is UP");
        }
    }

    @Test
    public void thePlatformForbidsProbesAndWins() throws Exception {
        program = new RealProgram(LISTEN + PROBES, fields, workerA);
        program.awaitLog("probes: off, the platform's settings forbid them");
        program.awaitServing();
        // the first that comes to the worker is a job, though many intervals have passed
        assertTrue(program.awaitLog("availability: ") != null);
        Exchange client = program.client().write(request("/ficha", "t1", TIME, "soup"));
        Exchange first = workerA.accept();
        assertTrue(first.firstLine.startsWith("POST "), first.firstLine);
        first.startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
    }

    @Test
    public void aWorkerWhoseAttemptsBreakInARowIsEjected() throws Exception {
        try (Worker b = new Worker("s-b")) {
            program = new RealProgram("eject.failures = 2\neject.time = 30s\n", fields, workerA, b);
            program.awaitServing();
            b.serve();
            workerA.serve("done");
            int n = 0;
            while (program.log.stream().noneMatch(l -> l.contains("s-b is EJECTED")) && n < 200) {
                Exchange client = program.client().write(request("/ficha", "t" + n++, TIME + "Connection: close\r\n", "soup"));
                assertEquals(client.readStatus(), 200, "a broken attempt goes on elsewhere");
                program.drainLog();
            }
            assertTrue(n < 200, "it is ejected");
        }
    }
}
