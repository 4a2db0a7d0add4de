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

/** The checks and controls of the real program, as balancers, operators and whoever else comes there meet them. */
public class ChecksIT extends RealChecks {
    @Test
    public void aDrainIsSaidInEachProtocolAndWithdrawnByReady() throws Exception {
        start(control() + "clients.envoy-headers = true\nclients.load-metrics = true\nchecks.agent.ready-for = 0ms\n");
        assertTrue(await("up 100%").matches("up 100% maxconn:\\d+ #all is well\n"));
        assertEquals(get("/readyz").firstLine, "HTTP/1.1 200 OK");
        assertTrue(command("drain").contains("\"standing\":\"DRAINING\""));
        assertTrue(ask().startsWith("drain #"));
        Exchange e = get("/readyz?verbose");
        assertEquals(e.firstLine, "HTTP/1.1 404 Not Found");
        assertTrue(e.body.contains("[-]operator failed: DRAIN") && e.body.contains("[+]loop ok"), e.body);
        assertEquals(e.headers.get("x-envoy-immediate-health-check-fail"), "true");
        assertEquals(get("/livez").firstLine, "HTTP/1.1 200 OK");
        // what still comes is served, and told to go elsewhere
        workerA.serve("done");
        Exchange client = program.client().write(request("/ficha", "t1", TIME
                + "endpoint-load-metrics-format: text\r\n", "soup"));
        assertEquals(client.readStatus(), 200);
        assertEquals(client.headers.get("connection"), "close");
        assertEquals(client.headers.get("x-envoy-immediate-health-check-fail"), "true");
        assertTrue(client.headers.get("endpoint-load-metrics").matches("TEXT cpu_utilization=\\d.*named_metrics.owed=\\d+"));
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
        Exchange worker = workerA.accept().startAnswer("started");
        program.signal("TERM");
        program.awaitLog("phase: DRAINING");
        assertTrue(command("ready").contains("the process is to end"));
        assertTrue(ask().startsWith("drain #the process is to end"));
        program.awaitLog("phase: FINISHING");
        assertTrue(ask().startsWith("stopped"));
        worker.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"done\",\"result\":\"made\"}").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertTrue(program.process.waitFor(RealProgram.TIMEOUT_S, TimeUnit.SECONDS));
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
        try (Worker gone = new Worker("s-gone")) {
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
            assertEquals(get("/readyz").headers.get("x-envoy-degraded"), "true");
            for (int i = 0; i < 5; i++) {
                Exchange client = program.connect(clients, null).write(request("/ficha", "t" + i, TIME, ""));
                assertNotEquals(client.readStatus(), 200);
            }
            await(" 1% maxconn");
            assertTrue(ask().contains("the saved list is wrong"));
            // discovery is back, with one that is there
            program.acceptWatch(list(2, true, workerA));
            await("up 100%");
            assertEquals(get("/readyz").headers.get("x-envoy-degraded"), null);
        }
    }

    @Test
    public void aSilenceOfDiscoveryDegradesUntilItSpeaksAgain() throws Exception {
        start("availability.silence = 1s\n");
        workerA.serve("done");
        await("discovery is silent");
        assertEquals(get("/readyz").headers.get("x-envoy-degraded"), "true");
        served("t1");
        // each watch that is opened meanwhile is one more that may speak
        program.awaitLog("discovery: watch ended: silent");
        program.acceptWatch("");
        await("all is well");
    }

    /** Nothing said, far too much said, and five hundred at once: clients and other checks go on. */
    @Test
    public void rudeChecksStarveNobody() throws Exception {
        start("checks.http.timeout = 1s\nchecks.agent.timeout = 1s\nchecks.http.connections = 16\n");
        workerA.serve("done");
        Exchange silent = program.connect(http, null);
        List<Exchange> many = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            many.add(program.connect(i % 2 == 0 ? http : agent, null));
        }
        served("t1");
        assertEquals(get("/livez").lastStatus(), 200);
        assertTrue(silent.awaitClose());
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
            e.readToEndOrReset();
        }
        Exchange bad = program.connect(http, null).write("POST /readyz HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n");
        assertEquals(bad.readStatus(), 400);
        assertTrue(bad.awaitClose());
        Exchange put = program.connect(http, null).write("PUT /readyz HTTP/1.1\r\nHost: c\r\n\r\n");
        assertEquals(put.readStatus(), 405);
        Exchange kept = get("/livez");
        kept.write("HEAD /nothing HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        assertTrue(kept.readToEnd().startsWith("HTTP/1.1 404 "));
        assertTrue(ask().contains("up "));
        served("t2");
    }

    /** A balancer that polls every 10 ms from 40 hosts: two seconds of it, with clients beside. */
    @Test
    public void fortyPollersStarveNobody() throws Exception {
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
            Files.writeString(program.operatorFile, (LISTEN + control()).replace("agent.listen = \"127.0.0.1:0",
                    "agent.listen = \"127.0.0.1:" + taken.getLocalPort()));
            program.signal("HUP");
            program.awaitLog("checks: agent cannot listen on");
            assertTrue(ask().contains("up "), "the old listener stays");
        }
        Files.writeString(program.operatorFile, "checks.agent.lisen = 1\nlog.format = yaml\n");
        program.signal("HUP");
        String kept = program.awaitLog("operator: kept as it was");
        assertTrue(kept.contains("did you mean checks.agent.listen?") && kept.contains("log.format"), kept);
        assertTrue(ask().contains("up "));
        Files.writeString(program.operatorFile, (LISTEN + control()).replace("agent.listen = \"127.0.0.1:0",
                "agent.listen = \"127.0.0.2:0") + "log.format = json\n");
        program.signal("HUP");
        program.awaitLog("operator: log.format takes effect at the next start");
        String line = program.awaitLog("checks: agent on 127.0.0.2");
        InetSocketAddress old = agent;
        agent = new InetSocketAddress("127.0.0.2", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
        assertTrue(ask().contains("up "));
        // the new one serves before the old one goes
        long until = System.nanoTime() + RealProgram.TIMEOUT_S * 1_000_000_000L;
        while (answers(old)) {
            assertTrue(System.nanoTime() < until, "the old listener still answers");
        }
    }

    private boolean answers(InetSocketAddress listener) throws Exception {
        try (Exchange e = program.connect(listener, null)) {
            // it may still take a connection, with nobody there to answer
            return !e.readToEndOrReset().isEmpty();
        } catch (java.net.ConnectException e) {
            return false;
        }
    }

    // ---------------------------------------------------------------- PROXY protocol
}
