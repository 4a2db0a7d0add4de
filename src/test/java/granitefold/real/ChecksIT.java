package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.real.RealProgram.Exchange;
import granitefold.real.RealProgram.Peer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The checks and controls of the real program, as balancers, operators and whoever else comes there meet them. */
public class ChecksIT {
    private static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 100000\r\n";
    private static final String LISTEN = "checks.agent.listen = \"127.0.0.1:0\"\nchecks.http.listen = \"127.0.0.1:0\"\n"
            + "availability.slow-start = 0ms\navailability.slow-start-from = 100\n";
    private final Map<String, String> fields = new HashMap<>();
    private Path folder;
    private Peer a;
    private RealProgram program;
    private InetSocketAddress agent;
    private InetSocketAddress http;

    @BeforeMethod
    public void setUp() throws IOException {
        fields.clear();
        folder = Files.createTempDirectory("checks");
        a = new Peer("s-a");
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        if (program != null) {
            program.close();
        }
        a.close();
        for (Path p : Files.list(folder).toList()) {
            Files.delete(p);
        }
        Files.delete(folder);
    }

    private Path socket() {
        return folder.resolve("n0.s");
    }

    private String control() {
        return "control.socket = \"" + socket() + "\"\n";
    }

    /** Starts with both listeners, and more in the operator's file; discovery confirms the list. */
    private Exchange start(String more) throws Exception {
        program = new RealProgram(LISTEN + more, fields, a);
        agent = program.addressIn("checks: agent on");
        http = program.addressIn("checks: http on");
        return program.serving();
    }

    private String ask() throws IOException {
        return program.connect(agent, null).rest();
    }

    private Exchange get(String target) throws IOException {
        Exchange e = program.connect(http, null).write("GET " + target + " HTTP/1.1\r\nHost: c\r\n\r\n");
        e.read();
        return e;
    }

    private String command(String line) throws IOException {
        try (SocketChannel c = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            c.connect(UnixDomainSocketAddress.of(socket()));
            c.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.US_ASCII)));
            return new String(Channels.newInputStream(c).readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Asks until the answer holds a text: what is measured takes its counts and dwell. */
    private String await(String part) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.PATIENCE_S);
        String said = ask();
        while (!said.contains(part)) {
            assertTrue(System.nanoTime() - until < 0, "no '" + part + "', but " + said);
            Thread.onSpinWait();
            said = ask();
        }
        return said;
    }

    private void served(String txn) throws IOException {
        Exchange client = program.client().write(request("/ficha", txn, TIME + "Connection: close\r\n", "soup"));
        assertEquals(client.status() + client.body, "200made soup");
    }

    @Test
    public void aDrainIsSaidInEachProtocolAndWithdrawnByReady() throws Exception {
        start(control() + "clients.envoy-headers = true\nclients.load-metrics = true\nchecks.agent.ready-for = 0ms\n");
        assertTrue(await("up 100%").matches("up 100% maxconn:\\d+ #all is well\n"));
        assertEquals(get("/readyz").first, "HTTP/1.1 200 OK");
        assertTrue(command("drain").contains("\"standing\":\"DRAINING\""));
        assertTrue(ask().startsWith("drain #"));
        Exchange e = get("/readyz?verbose");
        assertEquals(e.first, "HTTP/1.1 404 Not Found");
        assertTrue(e.body.contains("[-]operator failed: DRAIN") && e.body.contains("[+]loop ok"), e.body);
        assertEquals(e.head.get("x-envoy-immediate-health-check-fail"), "true");
        assertEquals(get("/livez").first, "HTTP/1.1 200 OK");
        // what still comes is served, and told to go elsewhere
        a.serve("done");
        Exchange client = program.client().write(request("/ficha", "t1", TIME
                + "endpoint-load-metrics-format: text\r\n", "soup"));
        assertEquals(client.status(), 200);
        assertEquals(client.head.get("connection"), "close");
        assertEquals(client.head.get("x-envoy-immediate-health-check-fail"), "true");
        assertTrue(client.head.get("endpoint-load-metrics").matches("TEXT cpu_utilization=\\d.*named_metrics.owed=\\d+"));
        assertTrue(command("maint").contains("MAINT"));
        assertTrue(ask().startsWith("maint #"));
        command("ready");
        assertTrue(ask().startsWith("up "), "ready-for is 0 here");
        served("t2");
    }

    @Test
    public void readyIsSaidForAWhileAfterADrainWasWithdrawn() throws Exception {
        start(control());
        assertTrue(await("up 100%").startsWith("ready up "));
        command("drain");
        assertTrue(ask().startsWith("drain"));
        command("ready");
        assertTrue(ask().startsWith("ready up "));
    }

    @Test
    public void aPlannedEndInMaintGoesItsWayAndReadyDoesNotStopIt() throws Exception {
        start(control());
        command("maint");
        Exchange client = program.client().write(request("/ficha", "t1", TIME, "soup"));
        Exchange peer = a.accept().answer("started");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        assertTrue(command("ready").contains("the process is to end"));
        assertTrue(ask().startsWith("drain #the process is to end"));
        program.awaitLog("phase: FINISHING");
        assertTrue(ask().startsWith("stopped"));
        peer.lines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").end();
        assertEquals(client.status(), 200);
        assertTrue(program.process.waitFor(RealProgram.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 0);
        assertFalse(Files.exists(socket()), "a planned end takes its socket away");
    }

    /** Killed and back with a saved list that is wrong in all, while discovery says nothing. */
    @Test
    public void aStaleListIsNoFullHealth() throws Exception {
        start("");
        await("up 100%");
        program.process.destroyForcibly().waitFor();
        program.close();
        try (Peer gone = new Peer("s-gone")) {
            String wrong = list(1, true, gone);
            gone.close();
            fields.put("known", wrong);
            fields.put("settings", RealProgram.settings("\"attemptsCap\":1,\"connectTimeoutMs\":200,\"idleCloseMs\":60000"));
            program = new RealProgram(LISTEN, fields);
            agent = program.addressIn("checks: agent on");
            http = program.addressIn("checks: http on");
            InetSocketAddress clients = program.addressIn(" listening on");
            program.awaitLog("phase: SERVING");
            String said = await("%");
            int weight = Integer.parseInt(said.replaceAll("(?s).*?(\\d+)%.*", "$1"));
            assertTrue(weight <= 30, said);
            assertEquals(get("/readyz").head.get("x-envoy-degraded"), "true");
            for (int i = 0; i < 5; i++) {
                Exchange client = program.connect(clients, null).write(request("/ficha", "t" + i, TIME, ""));
                assertNotEquals(client.status(), 200);
            }
            await(" 1% maxconn");
            assertTrue(ask().contains("the saved list is wrong"));
            // discovery is back, with one that is there
            program.watch(list(2, true, a));
            await("up 100%");
            assertEquals(get("/readyz").head.get("x-envoy-degraded"), null);
        }
    }

    @Test
    public void aSilenceOfDiscoveryDegradesUntilItSpeaksAgain() throws Exception {
        start("availability.silence = 1s\n");
        a.serve("done");
        await("discovery is silent");
        assertEquals(get("/readyz").head.get("x-envoy-degraded"), "true");
        served("t1");
        // each watch that is opened meanwhile is one more that may speak
        program.awaitLog("discovery: watch ended: silent");
        program.watch("");
        await("all is well");
    }

    /** Nothing said, far too much said, and five hundred at once: clients and other checks go on. */
    @Test
    public void rudeChecksStarveNobody() throws Exception {
        start("checks.http.timeout = 1s\nchecks.agent.timeout = 1s\nchecks.http.connections = 16\n");
        a.serve("done");
        Exchange silent = program.connect(http, null);
        List<Exchange> many = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            many.add(program.connect(i % 2 == 0 ? http : agent, null));
        }
        served("t1");
        assertEquals(get("/livez").lastStatus(), 200);
        assertTrue(silent.closed());
        for (InetSocketAddress to : List.of(http, agent)) {
            Exchange loud = program.connect(to, null);
            byte[] chunk = new byte[1 << 20];
            boolean cut = false;
            for (int i = 0; i < 60 && !cut; i++) {
                try {
                    loud.socket.getOutputStream().write(chunk);
                } catch (SocketException e) {
                    cut = true;
                }
            }
            assertTrue(cut, "60 MB are not read to their end");
        }
        for (Exchange e : many) {
            e.restOrReset();
        }
        Exchange bad = program.connect(http, null).write("POST /readyz HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n");
        assertEquals(bad.status(), 400);
        assertTrue(bad.closed());
        Exchange put = program.connect(http, null).write("PUT /readyz HTTP/1.1\r\nHost: c\r\n\r\n");
        assertEquals(put.status(), 405);
        Exchange kept = get("/livez");
        kept.write("HEAD /nothing HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        assertTrue(kept.rest().startsWith("HTTP/1.1 404 "));
        assertTrue(ask().contains("up "));
        served("t2");
    }

    /** A balancer that polls every 10 ms from 40 hosts: two seconds of it, with clients beside. */
    @Test
    public void fortyPollersStarveNobody() throws Exception {
        start("");
        a.serve("done");
        List<Thread> pollers = new ArrayList<>();
        int[] answers = new int[40];
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        for (int i = 0; i < 40; i++) {
            int host = i;
            Thread t = new Thread(() -> {
                for (long next = System.nanoTime(); System.nanoTime() - until < 0; next += 10_000_000) {
                    java.util.concurrent.locks.LockSupport.parkNanos(next - System.nanoTime());
                    try (java.net.Socket s = new java.net.Socket()) {
                        s.bind(new InetSocketAddress("127.0.1." + (host + 1), 0));
                        s.connect(agent, 5000);
                        s.setSoTimeout(5000);
                        answers[host] += s.getInputStream().readAllBytes().length > 0 ? 1 : 0;
                    } catch (IOException e) {
                        // one that waits too long, or is closed for want of room, counts as none
                    }
                }
            });
            t.start();
            pollers.add(t);
        }
        int served = 0;
        while (System.nanoTime() - until < 0) {
            served("t" + served++);
        }
        for (Thread t : pollers) {
            t.join();
        }
        assertTrue(served > 10, "clients were served all the while: " + served);
        for (int n : answers) {
            assertTrue(n > 5, "each host has its answers: " + java.util.Arrays.toString(answers));
        }
    }

    @Test
    public void aReloadMovesTheListenersAndOneInUseLeavesThemAsTheyAre() throws Exception {
        start(control());
        try (ServerSocket taken = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Files.writeString(program.operator, (LISTEN + control()).replace("agent.listen = \"127.0.0.1:0",
                    "agent.listen = \"127.0.0.1:" + taken.getLocalPort()));
            program.signal("HUP");
            program.awaitLog("checks: agent cannot listen on");
            assertTrue(ask().contains("up "), "the old listener stays");
        }
        Files.writeString(program.operator, "checks.agent.lisen = 1\nlog.format = yaml\n");
        program.signal("HUP");
        String kept = program.awaitLog("operator: kept as it was");
        assertTrue(kept.contains("did you mean checks.agent.listen?") && kept.contains("log.format"), kept);
        assertTrue(ask().contains("up "));
        Files.writeString(program.operator, (LISTEN + control()).replace("agent.listen = \"127.0.0.1:0",
                "agent.listen = \"127.0.0.2:0") + "log.format = json\n");
        program.signal("HUP");
        program.awaitLog("operator: log.format takes effect at the next start");
        String line = program.awaitLog("checks: agent on 127.0.0.2");
        InetSocketAddress old = agent;
        agent = new InetSocketAddress("127.0.0.2", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
        assertTrue(ask().contains("up "));
        try {
            // the old one may still take a connection, but nobody is there to answer
            assertEquals(program.connect(old, null).restOrReset(), "");
        } catch (java.net.ConnectException e) {
            // closed already
        }
    }

    // ---------------------------------------------------------------- PROXY protocol
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
        assertTrue(without.closed());
        assertTrue(program.awaitLog("refused").contains("no PROXY header"));
        Exchange half = program.client().write("PROXY TCP4 10.0.0.1 10.");
        Exchange wrong = program.client();
        wrong.socket.getOutputStream().write(v2(11, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0));
        assertTrue(wrong.closed());
        // version 2 with an extension that nobody knows, in two parts, then the request
        byte[] good = v2(17, 10, 0, 0, 1, 10, 0, 0, 2, 0, 80, 0, 81, 0xEE, 0, 2, 7, 7);
        Exchange client = program.client();
        client.socket.getOutputStream().write(good, 0, 14);
        client.socket.getOutputStream().write(good, 14, good.length - 14);
        client.write(job);
        a.accept().answer("done").end();
        assertEquals(client.status() + client.body, "200made soup");
        Exchange bad = program.client().write("PROXY TCP4 10.7.7.7 10.0.0.2 5555 80\r\nnonsense\r\n\r\n");
        assertEquals(bad.status(), 400);
        assertTrue(program.awaitLog("10.7.7.7:5555 refused") != null);
        // a balancer's own check
        Exchange local = program.client();
        local.socket.getOutputStream().write(new byte[] {0x0D, 0x0A, 0x0D, 0x0A, 0x00, 0x0D, 0x0A, 0x51, 0x55, 0x49, 0x54, 0x0A,
            0x20, 0, 0, 0});
        local.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(local.status(), 200);
        assertTrue(half.closed(), "silence within a header ends it");
    }

    @Test
    public void onlyNamedProxiesAreHeard() throws Exception {
        start("clients.proxy-protocol = required\nclients.proxy-from = [\"127.0.0.9\"]\n");
        assertTrue(program.client().write("PROXY UNKNOWN\r\n" + request("/ficha", "t1", TIME, "")).closed());
        Exchange named = program.connect((InetSocketAddress) program.client().socket.getRemoteSocketAddress(), "127.0.0.9");
        named.write("PROXY UNKNOWN\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(named.status(), 200);
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
            assertTrue(second.process.waitFor(RealProgram.PATIENCE_S, TimeUnit.SECONDS));
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
        assertTrue(program.process.waitFor(RealProgram.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(Files.readString(socket()), "mine");
    }

    @Test
    public void aBrokenOperatorFileIsALineAProblemAndStatusTwo() throws Exception {
        program = new RealProgram("log.format = yaml\nprobe.intervall = 2s\n", fields);
        assertTrue(program.awaitLog("granitefold: ").contains(":1: log.format: yaml is not allowed"));
        assertTrue(program.awaitLog("granitefold: ").contains(":2: probe.intervall: unknown key; did you mean probe.interval?"));
        assertTrue(program.process.waitFor(RealProgram.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 2);
    }

    @Test
    public void logLinesAreJsonWhereAskedFor() throws Exception {
        program = new RealProgram("log.format = json\n", fields, a);
        String line = program.awaitLog("\"event\":\"phase\"");
        assertEquals(new ObjectMapper().readTree(line).get("phase").asText(), "SERVING");
        assertEquals(new ObjectMapper().readTree(line).get("level").asText(), "INFO");
    }

    // ---------------------------------------------------------------- peers
    private static final String PROBES = "probe.allowed = true\nprobe.interval = 50ms\nprobe.timeout = 200ms\nprobe.panic = 0.6\n";

    /** What a probe finds on a peer: the next connection there, read and answered. */
    private static void probe(Peer peer, int status) throws IOException {
        Exchange e = peer.accept();
        assertEquals(e.first, "GET /healthz HTTP/1.1");
        e.write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    public void aPeerWhoseProbesFailGetsNothingUntilTheySucceed() throws Exception {
        fields.put("settings", RealProgram.settings("\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"probing\":true"));
        try (Peer b = new Peer("s-b")) {
            program = new RealProgram(LISTEN + PROBES, fields, a, b);
            program.addressIn("checks: agent on");
            program.addressIn("checks: http on");
            program.watch(list(1, false));
            a.serve("done");
            for (int i = 0; i < 3; i++) {
                probe(b, 503);
            }
            assertTrue(program.awaitLog("peer: s-b is DOWN").contains("503"));
            for (int i = 0; i < 2; i++) {
                probe(b, 200);
            }
            program.awaitLog("peer: s-b is UP");
        }
    }

    @Test
    public void thePlatformForbidsProbesAndWins() throws Exception {
        program = new RealProgram(LISTEN + PROBES, fields, a);
        program.awaitLog("probes: off, the platform's settings forbid them");
        program.serving();
        // the first that comes to the peer is a job, though many intervals have passed
        assertTrue(program.awaitLog("availability: ") != null);
        Exchange client = program.client().write(request("/ficha", "t1", TIME, "soup"));
        Exchange first = a.accept();
        assertTrue(first.first.startsWith("POST "), first.first);
        first.answer("done").end();
        assertEquals(client.status(), 200);
    }

    @Test
    public void aPeerWhoseTriesBreakInARowIsEjected() throws Exception {
        try (Peer b = new Peer("s-b")) {
            program = new RealProgram("eject.failures = 2\neject.time = 30s\n", fields, a, b);
            program.serving();
            b.serve();
            a.serve("done");
            int n = 0;
            while (program.log.stream().noneMatch(l -> l.contains("s-b is EJECTED")) && n < 200) {
                Exchange client = program.client().write(request("/ficha", "t" + n++, TIME + "Connection: close\r\n", "soup"));
                assertEquals(client.status(), 200, "a broken try goes on elsewhere");
                program.drainLog();
            }
            assertTrue(n < 200, "it is ejected");
        }
    }
}
