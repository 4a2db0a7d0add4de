package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.real.RealProgram.Worker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Base of the tests of health checks and controls: the built program with its listeners, and calls to them. */
class RealChecks {
    static final String TIME = "X-Remaining-Ms: 20000\r\nX-Estimate: 100000\r\n";
    static final String LISTENERS = "checks.agent.listen = \"127.0.0.1:0\"\nchecks.http.listen = \"127.0.0.1:0\"\n"
            + "availability.slow-start = 0ms\navailability.slow-start-from = 100\n";
    final Map<String, String> fields = new HashMap<>();
    Path folder;
    Worker workerA;
    RealProgram program;
    InetSocketAddress agentAddress;
    InetSocketAddress httpAddress;

    @BeforeMethod
    public void setUp() throws IOException {
        fields.clear();
        folder = Files.createTempDirectory("checks");
        workerA = new Worker("s-a");
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        if (program != null) {
            program.close();
        }
        workerA.close();
        for (Path p : Files.list(folder).toList()) {
            Files.delete(p);
        }
        Files.delete(folder);
    }

    Path controlSocketFile() {
        return folder.resolve("n0.s");
    }

    String controlSocketSettings() {
        return "control.socket = \"" + controlSocketFile() + "\"\n";
    }

    /** Starts with both listeners and further lines in the operator's file; discovery confirms the list. */
    Exchange start(String more) throws Exception {
        program = new RealProgram(LISTENERS + more, fields, workerA);
        agentAddress = program.addressIn("checks: agent on");
        httpAddress = program.addressIn("checks: http on");
        return program.awaitServing();
    }

    String askAgent() throws IOException {
        return program.connect(agentAddress, null).readToEnd();
    }

    Exchange get(String target) throws IOException {
        Exchange e = program.connect(httpAddress, null).write("GET " + target + " HTTP/1.1\r\nHost: c\r\n\r\n");
        e.read();
        return e;
    }

    String sendCommand(String line) throws IOException {
        try (SocketChannel c = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            c.connect(UnixDomainSocketAddress.of(controlSocketFile()));
            c.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.US_ASCII)));
            return new String(Channels.newInputStream(c).readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Asks until the answer contains a text, since measured values change only after their counts and dwell times. */
    String awaitAgentLine(String part) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(RealProgram.TIMEOUT_S);
        String agentLine = askAgent();
        while (!agentLine.contains(part)) {
            assertTrue(System.nanoTime() - until < 0, "agent line without '" + part + "': " + agentLine);
            Thread.onSpinWait();
            agentLine = askAgent();
        }
        return agentLine;
    }

    void assertServed(String txn) throws IOException {
        Exchange client = program.client().write(request("/ficha", txn, TIME + "Connection: close\r\n", "soup"));
        assertEquals(client.readStatus() + client.body, "200made soup");
    }
}
