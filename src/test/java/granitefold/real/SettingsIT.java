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

/** What one customer's settings leave behind is not used under another's. */
public class SettingsIT extends RealTest {
    /** The classes in another order, and the one that must not run twice is another one. */
    private static String turned(String settings) {
        return settings.replace("\"name\":\"ficha\"", "\"name\":\"X\"").replace("\"name\":\"once\"", "\"name\":\"ficha\"")
                .replace("\"name\":\"X\"", "\"name\":\"once\"");
    }

    private Path configuration() throws Exception {
        String all = Files.readString(Path.of("/proc/" + program.process.pid() + "/environ"), StandardCharsets.ISO_8859_1);
        return Path.of(Stream.of(all.split("\0")).filter(v -> v.startsWith("LB_CONFIG=")).findFirst().orElseThrow().substring("LB_CONFIG=".length()));
    }

    /** A file with the classes in another order is read in the middle of a request: its class is still what it was. */
    @Test
    public void aHangUpThatTurnsTheClassesRoundTouchesNoRequest() throws Exception {
        Exchange watch = start(workerA);
        Exchange once = send("/once", "t1", "");
        Exchange attempt = workerA.accept().startAnswer("started");
        program.moveDiscovery();
        Files.writeString(configuration(), turned(Files.readString(configuration())));
        program.signal("HUP");
        assertTrue(watch.awaitClose());
        program.acceptWatch(list(2, false));
        program.awaitLog("discovery: list 2");
        attempt.writeLines("{\"id\":\"t1\",\"from\":\"p\",\"state\":\"lost\"}").endAnswer();
        assertEquals(once.readStatus(), 500, "it may have run, and must not be sent again");
        // nor is what comes later taken for another class: this one may be sent again as often as it likes
        Exchange ficha = send("/ficha", "t2", "");
        nextAttempt(attempt).startAnswer("started", "lost").endAnswer();
        nextAttempt(attempt).startAnswer("started", "done").endAnswer();
        assertEquals(ficha.readStatus(), 200);
    }

    /** The folder is the last customer's, and so are the names of the dispatchers. */
    @Test
    public void whatWasLearnedUnderOtherSettingsIsNotUsed() throws Exception {
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
            fields.put("settings", turned(RealProgram.settings(LIMITS)));
            program = new RealProgram(operator, fields, workerA);
            program.awaitServing();
            program.hasLogged("state: the file is of other settings than ours, and not used");
            program.drainLog();
            assertTrue(program.log.stream().noneMatch(l -> l.contains("state: recovered")), program.log.toString());
            // the key is another customer's, and says nothing of this one's request
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

    /** At a sibling's address another deployment's dispatcher still speaks; a word of ours is heard all the same. */
    @Test
    public void wordsOfOtherSettingsAreNotHeard() throws Exception {
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
            DatagramPacket word = new DatagramPacket(new byte[1000], 1000);
            sibling.receive(word);
            workerA.accept().startAnswer("done").endAnswer();
            assertEquals(client.readStatus(), 200);
            byte[] foreign = java.util.Arrays.copyOf(word.getData(), word.getLength());
            foreign[foreign.length - 1] ^= 1;
            sibling.send(new DatagramPacket(foreign, foreign.length, own));
            program.awaitLog("siblings: words of other settings than ours come from");
            // a sibling that is heard is one to hand clients over to: then the end comes after 0.7 s, else after 3.3
            sibling.send(new DatagramPacket(foreign, foreign.length, own));
            program.signal("TERM");
            program.awaitLog("phase: FINISHING");
            assertTrue(between("phase: DRAINING", "phase: FINISHING").toMillis() > 3_000, "nobody was heard");
        }
        assertFalse(hasPendingConnection(workerA));
    }
}
