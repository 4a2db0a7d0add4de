package granitefold.real;

import static granitefold.real.RealProgram.list;
import static granitefold.real.RealProgram.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** State and messages that belong to other settings are not used. */
public class SettingsIT extends RealTest {
    /** Returns the settings with two classes exchanged, so that another class must not run twice. */
    private static String withClassesReordered(String settings) {
        return settings.replace("\"name\":\"ficha\"", "\"name\":\"X\"").replace("\"name\":\"once\"", "\"name\":\"ficha\"")
                .replace("\"name\":\"X\"", "\"name\":\"once\"");
    }

    private Path configurationFile() throws Exception {
        String all = Files.readString(Path.of("/proc/" + program.process.pid() + "/environ"), StandardCharsets.ISO_8859_1);
        return Path.of(Stream.of(all.split("\0")).filter(v -> v.startsWith("LB_CONFIG=")).findFirst().orElseThrow().substring("LB_CONFIG=".length()));
    }

    /** A configuration with reordered classes, read while a request is open, does not change the class of that request. */
    @Test
    public void sighupWithReorderedClassesDoesNotAffectRequests() throws Exception {
        Exchange watch = start(workerA);
        Exchange once = send("/once", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        program.moveDiscovery();
        Files.writeString(configurationFile(), withClassesReordered(Files.readString(configurationFile())));
        program.signal("HUP");
        assertTrue(watch.awaitClose());
        program.acceptWatch(list(2, false));
        program.awaitLog("discovery: list 2");
        attempt.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"lost\"}").endAnswer();
        assertEquals(once.readStatus(), 500, "the job may have run and must not be sent again");
        // Later requests keep their class as well: this one may be sent again any number of times.
        Exchange ficha = send("/ficha", "t2", "");
        nextAttempt(attempt).startAnswer("started", "lost").endAnswer();
        nextAttempt(attempt).startAnswer("started", "done").endAnswer();
        assertEquals(ficha.readStatus(), 200);
    }

    /** The state folder and the dispatchers' names are those of a deployment with other settings. */
    @Test
    public void stateLearnedUnderOtherSettingsIsNotUsed() throws Exception {
        Path folder = Files.createTempDirectory("state");
        String operator = "state.dir = \"" + folder + "\"\nstate.every = 100ms\n";
        try {
            program = new RealProgram(operator, fields, workerA);
            program.awaitServing();
            Exchange client = program.client().write(request("/guardar", "t1", TIME + "Idempotency-Key: k1\r\n", "soup"));
            workerA.accept().startAnswer("done").endAnswer();
            assertEquals(client.readStatus(), 200);
            client.close();
            program.signal("TERM");
            awaitExit();
            program.close();
            fields.put("settings", withClassesReordered(RealProgram.settings(LIMITS)));
            program = new RealProgram(operator, fields, workerA);
            program.awaitServing();
            program.hasLogged("state: the file is of other settings than ours, and not used");
            program.drainLog();
            assertTrue(program.log.stream().noneMatch(l -> l.contains("state: recovered")), program.log.toString());
            // The key was used under the other settings and does not affect this request.
            client = program.client().write(request("/guardar", "t2", TIME + "Idempotency-Key: k1\r\n", "salt"));
            workerA.accept().startAnswer("done").endAnswer();
            assertEquals(client.readStatus() + client.body, "200made salt");
        } finally {
            program.close();
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    /** A dispatcher with other settings sends messages from a sibling's address; they do not count as a live sibling's. */
    @Test
    public void messagesOfOtherSettingsAreIgnored() throws Exception {
        try (DatagramSocket sibling = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            sibling.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
            InetSocketAddress own = (InetSocketAddress) free.getLocalSocketAddress();
            free.close();
            fields.put("settings", RealProgram.settings(LIMITS).replace("\"siblings\":1", "\"siblings\":2")
                    .replaceAll("\"deadlineMs\":[0-9]+", "\"deadlineMs\":20000"));
            fields.put("peer_listen", "\"127.0.0.1:" + own.getPort() + "\"");
            fields.put("peers", "[\"127.0.0.1:" + own.getPort() + "\",\"127.0.0.1:" + sibling.getLocalPort() + "\"]");
            start(workerA);
            Exchange client = send("/ficha", "t1", "");
            DatagramPacket message = new DatagramPacket(new byte[1000], 1000);
            sibling.receive(message);
            workerA.accept().startAnswer("done").endAnswer();
            assertEquals(client.readStatus(), 200);
            byte[] foreign = java.util.Arrays.copyOf(message.getData(), message.getLength());
            foreign[foreign.length - 1] ^= 1;
            sibling.send(new DatagramPacket(foreign, foreign.length, own));
            program.awaitLog("siblings: words of other settings than ours come from");
            // With a live sibling to take over the clients, draining ends after 0.7 s, otherwise after 3.3 s.
            sibling.send(new DatagramPacket(foreign, foreign.length, own));
            program.signal("TERM");
            program.awaitLog("phase: FINISHING");
            assertTrue(between("phase: DRAINING", "phase: FINISHING").toMillis() > 3_000, "a message of other settings was taken for a sibling's");
        }
        assertFalse(hasPendingConnection(workerA));
    }
}
