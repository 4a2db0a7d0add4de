package granitefold.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.wire.InvalidInputException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The protocol with the simulator: parsing of batches, order of events, and encoding of replies. */
class SimulatorSessionTest {
    private static final String SETUP = "{\"classes\":[{\"effect\":\"retryable\",\"group\":\"all\",\"onTimeMs\":600.0,"
            + "\"deadlineMs\":8000.0,\"points\":5.0,\"new\":[1,{\"x\":2}]}],\"tenants\":[],\"siblings\":1,\"me\":0,"
            + "\"later\":{\"a\":[true]},\"limits\":{\"attemptsCap\":3},\"report\":{\"names\":[\"x0\",\"odd\"]}}";
    private static final String LIST = "{\"verb\":\"List\",\"list\":0,\"nodesList\":[{\"powerHint\":1,\"runner\":77,"
            + "\"lifecycle\":\"ready\",\"sinceMs\":null,\"failureDomain\":0,\"stripe\":0,\"classOfHost\":0,\"odd\":1}]}";
    private static final String START = "{\"verb\":\"PowerOn\",\"salt\":18446744073709551615,\"setup\":" + SETUP + "},"
            + LIST + ",{\"verb\":\"Members\",\"how\":\"SAVED\",\"epoch\":1,\"list\":0}";
    private static final String JOB = "{\"verb\":\"Ingress\",\"msgId\":1059033125130692,\"category\":0,"
            + "\"clientGroup\":null,\"timeLeftMs\":8000.0,\"expectedMs\":12.5,\"needs\":1,\"ramUnits\":null,\"odd\":{}}";

    private static String replyTo(String... lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] in = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        new SimulatorSession(new ByteArrayInputStream(in), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(int turn, String name, String events) {
        return "{\"atTimeMs\":" + (1000 + turn) + ".25,\"turn\":" + turn + ",\"parts\":[{\"dispatcherId\":\"" + name
                + "\",\"news\":[" + events + "]}]}";
    }

    @Test
    void emptyBatchesAreEchoed() throws IOException {
        assertEquals("{\"turn\":7,\"parts\":[]}\n", replyTo("{\"atTimeMs\":1.5,\"turn\":7,\"parts\":[]}"));
        assertEquals("", replyTo(""));
    }

    @Test
    void requestIsSentToTheListedWorker() throws IOException {
        String out = replyTo(batch(1, "d_0", START + "," + JOB));
        assertTrue(out.contains("{\"verb\":\"Try\",\"msgId\":1059033125130692,\"runner\":77}"), out);
    }

    @Test
    void keysMayComeInAnyOrder() throws IOException {
        String out = replyTo("{\"parts\":[{\"news\":[" + START + "," + JOB
                + "],\"dispatcherId\":\"d_0\"}],\"turn\":3,\"atTimeMs\":9}");
        assertTrue(out.startsWith("{\"turn\":3,") && out.contains("\"runner\":77"), out);
    }

    @Test
    void killedInstanceTakesNoActionUntilRestartedInTheSameBatch() throws IOException {
        assertEquals("{\"turn\":2,\"parts\":[]}\n",
                replyTo(batch(1, "d_0", START), batch(2, "d_0", "{\"verb\":\"Kill\"}," + JOB)).split("(?<=\n)")[1]);
        assertTrue(replyTo(batch(1, "d_0", START), batch(2, "d_0", "{\"verb\":\"Kill\"}," + START + "," + JOB))
                .contains("\"runner\":77"));
    }

    @Test
    void listNumbersAreResolvedInEventOrder() throws IOException {
        String other = LIST.replace("77", "88");
        String out = replyTo(batch(1, "d_0", START + "," + other + "," + JOB));
        assertTrue(out.contains("\"runner\":77"), out);
    }

    @Test
    void instancesShareNothing() throws IOException {
        String one = replyTo(batch(1, "d_0", START + "," + JOB));
        String[] both = replyTo(batch(1, "d_1", START + "," + JOB), batch(1, "d_0", START + "," + JOB)).split("(?<=\n)");
        assertEquals(one, both[1]);
    }

    @Test
    void malformedLinesAreRejected() {
        String[] bad = {"{", "[]", "{\"turn\":1,\"parts\":[]}", "{\"atTimeMs\":1,\"turn\":1,\"parts\":{}}", "nonsense",
            batch(1, "d_0", "{\"list\":1}"), batch(1, "d_0", "{\"verb\":\"PowerOn\",\"salt\":1}"),
            batch(1, "d_0", START + ",{\"verb\":\"Ingress\"}"),
            batch(1, "d_0", START.replace("\"me\":0", "\"me\":1")), batch(1, "d_0", START.replace("\"me\":0", "\"me\":-1")),
            batch(1, "d_0", START.replace("\"siblings\":1", "\"siblings\":0")),
            batch(1, "d_0", START + ",{\"verb\":\"Members\",\"how\":\"FULL\",\"list\":5}"),
            batch(1, "d_0", START + ",{\"verb\":\"Response\",\"msgId\":1,\"code\":999}"),
            "{\"atTimeMs\":1,\"turn\":1,\"parts\":[]} {}"};
        for (String line : bad) {
            assertThrows(InvalidInputException.class, () -> replyTo(line), line);
        }
        ByteArrayInputStream cut = new ByteArrayInputStream("{\"atTimeMs\":1".getBytes(StandardCharsets.UTF_8));
        assertThrows(InvalidInputException.class, () -> new SimulatorSession(cut, new ByteArrayOutputStream()).run());
    }

    @Test
    void failureOfTheDispatcherIsReported() throws IOException {
        String out = replyTo(batch(1, "d_0", START + "," + JOB.replace("\"category\":0", "\"category\":5")));
        assertTrue(out.contains("\"verb\":\"GiveIn\",\"message\":\""), out);
    }

    @Test
    void timesAndStringsAreEncoded() {
        ReplyLine reply = new ReplyLine();
        reply.millis(1_234_005).raw(" ").millis(2_000).raw(" ").millis(-7).raw(" ").string("a\"b\\\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, out.size());
        try {
            reply.writeTo(out);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        assertEquals("1234.005 2 -0.007 \"a\\\"b\\\\ \"", out.toString(StandardCharsets.UTF_8));
    }
}
