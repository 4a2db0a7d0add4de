package granitefold.real;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import granitefold.standin.Fleet;
import granitefold.standin.ClosedLoopClients;
import granitefold.standin.ClosedLoopClients.End;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The second address, as staff and the platform use it, and as nobody should. */
public final class OpsIT {
    /** What an answer may take: the operators' figure. */
    private static final long DUE_NS = TimeUnit.SECONDS.toNanos(1);

    private final List<Closeable> opened = new ArrayList<>();
    private Fleet fleet;
    private Fleet.Dispatcher d;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new Fleet(3, 8);
        d = fleet.dispatcher("", fleet.discovery.listJson(null));
        d.startAlongside();
        d.awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        for (Closeable c : opened) {
            c.close();
        }
        opened.clear();
        fleet.close();
    }

    private Socket open(InetSocketAddress to, String text) throws IOException {
        Socket s = new Socket();
        opened.add(s);
        s.connect(to, 10_000);
        s.getOutputStream().write(text.getBytes());
        return s;
    }

    /** The answer, in the time it is due in. */
    private List<String> ask(String call) throws IOException {
        long at = System.nanoTime();
        List<String> lines = d.callOps(call);
        assertTrue(System.nanoTime() - at < DUE_NS, call + " took " + (System.nanoTime() - at) / 1_000_000 + " ms");
        return lines;
    }

    private JsonNode vars() throws IOException {
        List<String> lines = ask("vars");
        assertEquals(lines.size(), 2, lines.toString());
        assertEquals(lines.get(1), "--");
        return new ObjectMapper().readTree(lines.get(0));
    }

    /** So many bytes of a connection are read. */
    private static final int READ_MOST = 64 * 1024;
    private static final long PIECE_APART_MS = 50;

    @Test
    public void callsAreAnsweredAndOthersTurnedAway() throws Exception {
        assertEquals(ask("check"), List.of("ACK"));
        assertEquals(vars().get("targets").asInt(), 3);
        for (String call : List.of("", "chec", "check vars", "x".repeat(READ_MOST - 1), "\u0000\u0001")) {
            assertTrue(ask(call).get(0).startsWith("NAK"), call.length() + " characters");
        }
        assertEquals(ask("check\r"), List.of("ACK"), "a terminal's line end is one too");
    }

    /** Its rest is not read: the connection ends under a caller that goes on writing, who reads the answer all the same. */
    @Test
    public void aCallOfAMegabyteIsTurnedAwayAndItsRestNotRead() throws Exception {
        Socket s = open(d.opsAddress(), "");
        s.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(DUE_NS));
        byte[] piece = "x".repeat(READ_MOST).getBytes();
        assertThrows(SocketException.class, () -> {
            for (int sent = 0; sent < 1_000_000; sent += piece.length) {
                s.getOutputStream().write(piece);
                // by then the program has read what it reads, and has closed
                Thread.sleep(PIECE_APART_MS);
            }
        });
        assertEquals(new String(s.getInputStream().readNBytes(3)), "NAK");
        assertEquals(ask("check"), List.of("ACK"));
    }

    /** Answered by the loop, a call waited behind all else that it had to do. */
    @Test
    public void aBusyLoopDelaysNoAnswer() throws Exception {
        fleet.discovery.flood(20_000);
        try {
            long longest = 0;
            // until the loop has been busy for two seconds at a time, as its clients see it; the flood goes on for as long
            for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60); longest < 2 * DUE_NS;) {
                assertTrue(System.nanoTime() < until, "the loop was busy for " + longest / 1_000_000 + " ms at most");
                long at = System.nanoTime();
                Socket s = open(d.address(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                s.setSoTimeout(20);
                for (boolean answered = false; !answered;) {
                    assertEquals(ask("check"), List.of("ACK"));
                    try {
                        answered = s.getInputStream().read() != -2;
                    } catch (SocketTimeoutException e) {
                        answered = System.nanoTime() - at > 3 * DUE_NS;
                    }
                }
                longest = Math.max(longest, System.nanoTime() - at);
            }
        } finally {
            fleet.discovery.flood(0);
        }
    }

    /** The smallest limits with the crowd: the process is within its memory, and still answers and serves. */
    @Test
    public void aCrowdFitsTheSmallestMemory() throws Exception {
        try (RealProgram.Worker worker = new RealProgram.Worker("s-a");
                RealProgram program = new RealProgram(Map.of("ops", "\"127.0.0.1:0\"",
                        "limits", "{\"cores\":0.5,\"memory_mb\":96,\"sockets\":192}"), worker)) {
            worker.serve("started", "done");
            InetSocketAddress ops = program.addressIn("checks: ops on ");
            program.serving();
            for (int i = 0; i < 2_000; i++) {
                program.client().write(i % 3 == 0 ? "POST /ficha HTTP/1.1\r\nHost:" : "");
            }
            for (int i = 0; i < 50; i++) {
                Exchange client = program.client().write(RealProgram.request("/ficha", "t" + i,
                        "X-Remaining-Ms: 9000\r\nX-Estimate: 1000\r\n", "soup"));
                assertEquals(client.status(), 200);
                client.close();
            }
            String figures = "";
            // they may lag by half a second
            for (int i = 0; i < 1_000 && !figures.contains("\"success\":50"); i++) {
                figures = program.connect(ops, null).write("vars\n").rest();
            }
            assertTrue(figures.contains("\"success\":50"), figures);
            String high = Files.readAllLines(Path.of("/proc", String.valueOf(program.process.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmHWM")).findFirst().orElseThrow();
            System.out.println("2,000 clients at 96 MB: " + high);
            assertTrue(Long.parseLong(high.replaceAll("\\D", "")) < 96 * 1024, high);
        }
    }

    /** Silent callers, and a crowd at the clients' address, cost the answers nothing; the figures stay true meanwhile. */
    @Test
    public void figuresAreTrueUnderACrowd() throws Exception {
        for (int i = 0; i < 100; i++) {
            open(d.opsAddress(), i % 2 == 0 ? "" : "che");
        }
        try (ClosedLoopClients clients = new ClosedLoopClients("c", d.address(), 8, 20_000, true)) {
            for (int i = 0; i < 2_000; i++) {
                open(d.address(), i % 3 == 0 ? "POST /ficha HTTP/1.1\r\nHost:" : "");
                if (i % 100 == 0) {
                    assertEquals(ask("check"), List.of("ACK"));
                    open(d.opsAddress(), "va");
                    JsonNode during = vars();
                    long served = clients.count(End.SERVED);
                    long success = during.get("replies").get("ficha").get("success").asLong();
                    assertTrue(success <= served + 3 + 8, success + " counted, " + served + " had");
                }
            }
            clients.awaitServed(clients.count(End.SERVED) + 100);
            clients.stop();
            JsonNode all = vars();
            for (int i = 0; i < 100 && all.get("replies").get("ficha").get("success").asLong() < clients.count(End.SERVED); i++) {
                // the figures may lag by half a second
                all = vars();
                Thread.sleep(5);
            }
            JsonNode ficha = all.get("replies").get("ficha");
            assertEquals(ficha.get("success").asLong(), clients.count(End.SERVED), clients.toString());
            assertEquals(ficha.get("overload").asLong(), clients.count(End.REJECTED), clients.toString());
            assertEquals(ficha.get("error").asLong(), clients.count(End.FAILED), clients.toString());
            assertEquals(all.get("concurrent").asLong(), 0);
            // the operators' slack for attempts is 2%
            assertEquals((double) all.get("dispatches").asLong(), fleet.jobsStarted(), 3 + 0.02 * fleet.jobsStarted());
        }
    }
}
