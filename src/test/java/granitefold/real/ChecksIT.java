package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import granitefold.real.RealProgram.Worker;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The health checks and controls of the built program, as balancers and operators use them and others misuse them. */
public class ChecksIT extends RealChecks {
    @Test
    public void drainIsReportedInEachProtocolAndWithdrawnByReady() throws Exception {
        start(controlSocketSettings() + "clients.envoy-headers = true\nclients.load-metrics = true\nchecks.agent.ready-for = 0ms\n");
        assertTrue(awaitAgentLine("up 100%").matches("up 100% maxconn:\\d+ #all is well\n"));
        assertEquals(get("/readyz").firstLine, "HTTP/1.1 200 OK");
        assertTrue(sendCommand("drain").contains("\"standing\":\"DRAINING\""));
        assertTrue(askAgent().startsWith("drain #"));
        Exchange response = get("/readyz?verbose");
        assertEquals(response.firstLine, "HTTP/1.1 404 Not Found");
        assertTrue(response.body.contains("[-]operator failed: DRAIN") && response.body.contains("[+]loop ok"), response.body);
        assertEquals(response.headers.get("x-envoy-immediate-health-check-fail"), "true");
        assertEquals(get("/livez").firstLine, "HTTP/1.1 200 OK");
        // Requests that still arrive are served with a hint to go elsewhere.
        workerA.serve("done");
        Exchange client = program.client().write(request("/ficha", "t1", TIME
                + "endpoint-load-metrics-format: text\r\n", "soup"));
        assertEquals(client.readStatus(), 200);
        assertEquals(client.headers.get("connection"), "close");
        assertEquals(client.headers.get("x-envoy-immediate-health-check-fail"), "true");
        assertTrue(client.headers.get("endpoint-load-metrics").matches("TEXT cpu_utilization=\\d.*named_metrics.owed=\\d+"));
        assertTrue(sendCommand("maint").contains("MAINT"));
        assertTrue(askAgent().startsWith("maint #"));
        sendCommand("ready");
        assertTrue(askAgent().startsWith("up "), "ready-for is 0 in this test");
        assertServed("t2");
    }

    @Test
    public void agentReportsReadyForAWhileAfterADrainIsWithdrawn() throws Exception {
        start(controlSocketSettings());
        assertTrue(awaitAgentLine("up 100%").startsWith("ready up "));
        sendCommand("drain");
        assertTrue(askAgent().startsWith("drain"));
        sendCommand("ready");
        assertTrue(askAgent().startsWith("ready up "));
    }

    @Test
    public void gracefulShutdownInMaintCompletesAndReadyDoesNotStopIt() throws Exception {
        start(controlSocketSettings());
        sendCommand("maint");
        Exchange client = program.client().write(request("/ficha", "t1", TIME, "soup"));
        Exchange worker = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        assertTrue(sendCommand("ready").contains("the process is to end"));
        assertTrue(askAgent().startsWith("drain #the process is to end"));
        program.awaitLog("phase: FINISHING");
        // the phase is logged on the event loop's thread just before its report reaches that of the checks
        assertTrue(awaitAgentLine("stopped").startsWith("stopped"));
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(program.process.exitValue(), 0);
        assertFalse(Files.exists(controlSocketFile()), "a graceful shutdown must delete its socket file");
    }

    /** The process restarts after a kill with a saved list whose workers no longer exist, while discovery is silent. */
    @Test
    public void staleWorkerListLowersTheReportedHealth() throws Exception {
        start("");
        awaitAgentLine("up 100%");
        program.process.destroyForcibly().waitFor();
        program.close();
        try (Worker missing = new Worker("s-gone")) {
            String wrong = list(1, true, missing);
            missing.close();
            fields.put("known", wrong);
            fields.put("settings", RealProgram.settings("\"attemptsCap\":1,\"connectTimeoutMs\":200,\"idleCloseMs\":60000"));
            program = new RealProgram(LISTENERS, fields);
            agentAddress = program.addressIn("checks: agent on");
            httpAddress = program.addressIn("checks: http on");
            InetSocketAddress clients = program.addressIn(" listening on");
            program.awaitLog("phase: SERVING");
            String agentLine = awaitAgentLine("%");
            int weight = Integer.parseInt(agentLine.replaceAll("(?s).*?(\\d+)%.*", "$1"));
            assertTrue(weight <= 30, agentLine);
            assertEquals(get("/readyz").headers.get("x-envoy-degraded"), "true");
            for (int i = 0; i < 5; i++) {
                Exchange client = program.connect(clients, null).write(request("/ficha", "t" + i, TIME, ""));
                assertNotEquals(client.readStatus(), 200);
            }
            awaitAgentLine(" 1% maxconn");
            assertTrue(askAgent().contains("the saved list is wrong"));
            // Discovery reports again, with a worker that exists.
            program.acceptWatch(list(2, true, workerA));
            awaitAgentLine("up 100%");
            assertEquals(get("/readyz").headers.get("x-envoy-degraded"), null);
        }
    }

    @Test
    public void silentDiscoveryDegradesUntilItReportsAgain() throws Exception {
        start("availability.silence = 1s\n");
        workerA.serve("done");
        awaitAgentLine("discovery is silent");
        assertEquals(get("/readyz").headers.get("x-envoy-degraded"), "true");
        assertServed("t1");
        // Each watch opened meanwhile may be the one that reports.
        program.awaitLog("discovery: watch ended: silent");
        program.acceptWatch("");
        awaitAgentLine("all is well");
    }

    /** Guards against taking a buffer whose content is processed for a full one: the rest of pipelined checks was never read. */
    @Test
    public void pipelinedChecksAreAllAnswered() throws Exception {
        // as many as the limit of 64 KiB for a connection holds
        int checkCount = 1_900;
        start("");
        Exchange checker = program.connect(httpAddress, null);
        checker.write("GET /livez HTTP/1.1\r\nHost: c\r\n\r\n".repeat(checkCount));
        for (int i = 0; i < checkCount; i++) {
            assertEquals(checker.readStatus(), 200, "check " + i);
        }
    }

    /** Silent checkers, flooding checkers and 500 connections at once: clients and other checks are still answered. */
    @Test
    public void misbehavingCheckersDoNotDisturbOthers() throws Exception {
        start("checks.http.timeout = 1s\nchecks.agent.timeout = 1s\nchecks.http.connections = 16\n");
        workerA.serve("done");
        Exchange silent = program.connect(httpAddress, null);
        List<Exchange> connections = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            connections.add(program.connect(i % 2 == 0 ? httpAddress : agentAddress, null));
        }
        assertServed("t1");
        assertEquals(get("/livez").lastStatus(), 200);
        assertTrue(silent.awaitClose());
        for (InetSocketAddress to : List.of(httpAddress, agentAddress)) {
            Exchange flooding = program.connect(to, null);
            byte[] chunk = new byte[1 << 20];
            boolean closed = false;
            for (int i = 0; i < 60 && !closed; i++) {
                try {
                    flooding.socket.getOutputStream().write(chunk);
                } catch (SocketException response) {
                    closed = true;
                }
            }
            assertTrue(closed, "the listener read 60 MB without closing");
        }
        for (Exchange response : connections) {
            response.readToEndOrReset();
        }
        Exchange bad = program.connect(httpAddress, null).write("POST /readyz HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n");
        assertEquals(bad.readStatus(), 400);
        assertTrue(bad.awaitClose());
        Exchange put = program.connect(httpAddress, null).write("PUT /readyz HTTP/1.1\r\nHost: c\r\n\r\n");
        assertEquals(put.readStatus(), 405);
        Exchange kept = get("/livez");
        kept.write("HEAD /nothing HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        assertTrue(kept.readToEnd().startsWith("HTTP/1.1 404 "));
        assertTrue(askAgent().contains("up "));
        assertServed("t2");
    }

    /** A balancer polls every 10 ms from 40 hosts for two seconds, with client requests at the same time. */
    @Test
    public void fortyPollersDoNotDisturbClients() throws Exception {
        start("");
        workerA.serve("done");
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
                        s.connect(agentAddress, 5000);
                        s.setSoTimeout(5000);
                        answers[host] += s.getInputStream().readAllBytes().length > 0 ? 1 : 0;
                    } catch (IOException response) {
                        // A poll that times out or is closed for lack of room counts as unanswered.
                    }
                }
            });
            t.start();
            pollers.add(t);
        }
        int served = 0;
        while (System.nanoTime() - until < 0) {
            assertServed("t" + served++);
        }
        for (Thread t : pollers) {
            t.join();
        }
        assertTrue(served > 10, "too few client requests were served: " + served);
        for (int n : answers) {
            assertTrue(n > 5, "a host got too few answers: " + java.util.Arrays.toString(answers));
        }
    }

    @Test
    public void reloadMovesTheListenersUnlessTheNewAddressIsInUse() throws Exception {
        start(controlSocketSettings());
        try (ServerSocket taken = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Files.writeString(program.operatorFile, (LISTENERS + controlSocketSettings()).replace("agent.listen = \"127.0.0.1:0",
                    "agent.listen = \"127.0.0.1:" + taken.getLocalPort()));
            program.signal("HUP");
            program.awaitLog("checks: agent cannot listen on");
            assertTrue(askAgent().contains("up "), "the old listener must stay");
        }
        Files.writeString(program.operatorFile, "checks.agent.lisen = 1\nlog.format = yaml\n");
        program.signal("HUP");
        String kept = program.awaitLog("operator: kept as it was");
        assertTrue(kept.contains("did you mean checks.agent.listen?") && kept.contains("log.format"), kept);
        assertTrue(askAgent().contains("up "));
        Files.writeString(program.operatorFile, (LISTENERS + controlSocketSettings()).replace("agent.listen = \"127.0.0.1:0",
                "agent.listen = \"127.0.0.2:0") + "log.format = json\n");
        program.signal("HUP");
        program.awaitLog("operator: log.format takes effect at the next start");
        String line = program.awaitLog("checks: agent on 127.0.0.2");
        InetSocketAddress old = agentAddress;
        agentAddress = new InetSocketAddress("127.0.0.2", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
        assertTrue(askAgent().contains("up "));
        // The new listener serves before the old one closes.
        long until = System.nanoTime() + RealProgram.TIMEOUT_S * 1_000_000_000L;
        while (isAnswering(old)) {
            assertTrue(System.nanoTime() < until, "the old listener still answers");
        }
    }

    private boolean isAnswering(InetSocketAddress listener) throws Exception {
        try (Exchange response = program.connect(listener, null)) {
            // The kernel may still accept a connection that nothing answers.
            return !response.readToEndOrReset().isEmpty();
        } catch (java.net.ConnectException response) {
            return false;
        }
    }
}
