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

/** PROXY headers, access to the control socket, errors in the operator's file, and worker health from probes and attempts. */
public class ChecksAccessIT extends RealChecks {
    private static byte[] proxyV2Header(int length, int... rest) {
        ByteBuffer header = ByteBuffer.allocate(16 + rest.length);
        header.put(new byte[] {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A, 0x21, 0x11});
        header.putShort((short) length);
        for (int r : rest) {
            header.put((byte) r);
        }
        return header.array();
    }

    @Test
    public void proxyHeaderIsRequiredAndParsed() throws Exception {
        start("clients.proxy-protocol = required\n");
        String rawRequest = request("/ficha", "t1", TIME, "soup");
        Exchange without = program.client().write(rawRequest);
        assertTrue(without.awaitClose());
        assertTrue(program.awaitLog("refused").contains("no PROXY header"));
        Exchange half = program.client().write("PROXY TCP4 10.0.0.1 10.");
        Exchange wrong = program.client();
        wrong.socket.getOutputStream().write(proxyV2Header(11, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0));
        assertTrue(wrong.awaitClose());
        // Version 2 with an unknown extension, sent in two parts, then the request.
        byte[] good = proxyV2Header(17, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0, 81, 0xEE, 0, 2, 7, 7);
        Exchange client = program.client();
        client.socket.getOutputStream().write(good, 0, 14);
        client.socket.getOutputStream().write(good, 14, good.length - 14);
        client.write(rawRequest);
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus() + client.body, "200made soup");
        Exchange bad = program.client().write("PROXY TCP4 10.7.7.7 10.0.0.2 5555 80\r\nnonsense\r\n\r\n");
        assertEquals(bad.readStatus(), 400);
        assertTrue(program.awaitLog("10.7.7.7:5555 refused") != null);
        // A LOCAL header, as on a balancer's own health check.
        Exchange local = program.client();
        local.socket.getOutputStream().write(new byte[] {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A,
            0x20, 0, 0, 0});
        local.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(local.readStatus(), 200);
        assertTrue(half.awaitClose(), "a partial header must time out");
    }

    @Test
    public void onlyListedProxiesAreAccepted() throws Exception {
        start("clients.proxy-protocol = required\nclients.proxy-from = [\"127.0.0.9\"]\n");
        assertTrue(program.client().write("PROXY UNKNOWN\r\n" + request("/ficha", "t1", TIME, "")).awaitClose());
        Exchange named = program.connect((InetSocketAddress) program.client().socket.getRemoteSocketAddress(), "127.0.0.9");
        named.write("PROXY UNKNOWN\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(named.readStatus(), 200);
    }

    @Test
    public void controlSocketIsPrivateAndOneInUseIsNeverTakenOver() throws Exception {
        start(controlSocketSettings());
        assertEquals(PosixFilePermissions.toString(Files.getPosixFilePermissions(controlSocketFile())), "rw-------");
        assertTrue(sendCommand("nonsense").contains("\"error\""));
        assertTrue(sendCommand("x".repeat(500)).contains("\"error\""));
        try (RealProgram second = new RealProgram(controlSocketSettings(), Map.of())) {
            assertTrue(second.awaitLog("bad configuration").contains("another process holds it"));
            assertTrue(second.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(second.process.exitValue(), 2);
        }
        assertTrue(sendCommand("status").contains("\"standing\""), "the first process must still answer");
        program.process.destroyForcibly().waitFor();
        assertTrue(Files.exists(controlSocketFile()), "a killed process leaves its socket file");
        program.close();
        start(controlSocketSettings());
        assertTrue(sendCommand("status").contains("\"standing\""), "the left-over socket file must be replaced");
    }

    @Test
    public void fileThatIsNoSocketIsNotReplaced() throws Exception {
        Files.writeString(controlSocketFile(), "mine");
        program = new RealProgram(controlSocketSettings(), fields);
        assertTrue(program.awaitLog("bad configuration").contains("no socket"));
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(Files.readString(controlSocketFile()), "mine");
    }

    @Test
    public void invalidOperatorFileLogsALinePerProblemAndExitsWithTwo() throws Exception {
        program = new RealProgram("log.format = yaml\nprobe.intervall = 2s\n", fields);
        assertTrue(program.awaitLog("granitefold: ").contains(":1: log.format: yaml is not allowed"));
        assertTrue(program.awaitLog("granitefold: ").contains(":2: probe.intervall: unknown key; did you mean probe.interval?"));
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 2);
    }

    @Test
    public void logFormatJsonWritesJsonLines() throws Exception {
        program = new RealProgram("log.format = json\n", fields, workerA);
        String line = program.awaitLog("\"event\":\"phase\"");
        assertEquals(new ObjectMapper().readTree(line).get("phase").asText(), "SERVING");
        assertEquals(new ObjectMapper().readTree(line).get("level").asText(), "INFO");
    }

    private static final String PROBES = "probe.allowed = true\nprobe.interval = 50ms\nprobe.timeout = 200ms\nprobe.panic = 0.6\n";

    /** Accepts the next connection at a worker, which must be a probe, and answers it with this status. */
    private static void answerProbe(Worker worker, int status) throws IOException {
        Exchange e = worker.accept();
        assertEquals(e.firstLine, "GET /healthz HTTP/1.1");
        e.write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    public void workerIsDownWhileItsProbesFail() throws Exception {
        fields.put("settings", RealProgram.settings("\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"probing\":true"));
        try (Worker workerB = new Worker("s-b")) {
            program = new RealProgram(LISTENERS + PROBES, fields, workerA, workerB);
            program.addressIn("checks: agent on");
            program.addressIn("checks: http on");
            program.acceptWatch(list(1, false));
            workerA.serve("done");
            for (int i = 0; i < 3; i++) {
                answerProbe(workerB, 503);
            }
            assertTrue(program.awaitLog("worker: s-b is DOWN").contains("503"));
            for (int i = 0; i < 2; i++) {
                answerProbe(workerB, 200);
            }
            program.awaitLog("worker: s-b is UP");
        }
    }

    @Test
    public void platformSettingsOverrideTheOperatorsProbes() throws Exception {
        program = new RealProgram(LISTENERS + PROBES, fields, workerA);
        program.awaitLog("probes: off, the platform's settings forbid them");
        program.awaitServing();
        // The first request at the worker is a job, although many probe intervals have passed.
        assertTrue(program.awaitLog("availability: ") != null);
        Exchange client = program.client().write(request("/ficha", "t1", TIME, "soup"));
        Exchange first = workerA.accept();
        assertTrue(first.firstLine.startsWith("POST "), first.firstLine);
        first.startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
    }

    @Test
    public void workerWithConsecutiveBrokenAttemptsIsEjected() throws Exception {
        try (Worker workerB = new Worker("s-b")) {
            program = new RealProgram("eject.failures = 2\neject.time = 30s\n", fields, workerA, workerB);
            program.awaitServing();
            workerB.serve();
            workerA.serve("done");
            int sent = 0;
            while (program.log.stream().noneMatch(l -> l.contains("s-b is EJECTED")) && sent < 200) {
                Exchange client = program.client().write(request("/ficha", "t" + sent++, TIME + "Connection: close\r\n", "soup"));
                assertEquals(client.readStatus(), 200, "a broken attempt must be retried elsewhere");
                program.drainLog();
            }
            assertTrue(sent < 200, "the worker was not ejected");
        }
    }
}
