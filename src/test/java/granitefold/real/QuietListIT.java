package granitefold.real;

import static granitefold.real.RealProgram.list;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import granitefold.standin.ReservedPort;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Discovery that is silent, breaks off, sends unusual text, or is unavailable while clients use all descriptors. */
public class QuietListIT extends RealTest {
    /** Guards against parsing each line as a whole list, so that an indented list ended the watch. */
    @Test
    public void indentedListIsAccepted() throws Exception {
        Exchange watch = start(workerA);
        workerA.status = "draining";
        workerB.status = "up";
        String indented = list(2, false, workerA, workerB).replace("{", "{\n  ").replace(",", " ,\r\n\t").replace("]", "\n\n]");
        watch.writeLines(indented, "", " \r");
        program.awaitLog("discovery: list 2 CHANGES");
        Exchange client = send("/ficha", "t1", "");
        workerB.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
        assertTrue(program.log.stream().noneMatch(l -> l.contains("watch ended")), program.log.toString());
    }

    /** After a reset, a refusal, an invalid line, a partial list or an immediate end, the next watch delivers the missed list. */
    @Test
    public void watchIsReopenedAfterAnyKindOfEnd() throws Exception {
        Exchange watch = start(workerA);
        watch.socket.setSoLinger(true, 0);
        watch.close();
        Exchange refused = program.acceptWatch();
        refused.close();
        program.acceptWatch("{]}");
        Exchange partial = program.acceptWatch();
        partial.write("5\r\n{\"ind\r\n").endAnswer();
        workerA.status = "draining";
        workerB.status = "up";
        program.acceptWatch(list(2, true, workerA, workerB));
        program.awaitLog("discovery: list 2 WHOLE");
        Exchange client = send("/ficha", "t1", "");
        workerB.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
    }

    /** An older list does not add workers, but its drains apply until a newer list arrives. */
    @Test
    public void drainsOfAnOlderListAreApplied() throws Exception {
        workerB.status = "up";
        Exchange watch = start(workerA, workerB);
        watch.writeLines(list(9, true, workerA, workerB));
        program.awaitLog("discovery: list 9");
        workerA.status = "draining";
        watch.writeLines(list(8, true, workerA, workerB));
        program.awaitLog("discovery: list not taken in");
        for (int i = 0; i < 4; i++) {
            Exchange client = send("/ficha", "t" + i, "");
            Exchange attempt = workerB.accept();
            attempt.answerAndEnd("done");
            assertEquals(client.readStatus(), 200);
            attempt.close();
        }
        workerA.status = "up";
        workerB.status = "draining";
        watch.writeLines(list(10, true, workerA, workerB));
        program.awaitLog("discovery: list 10");
        Exchange client = send("/ficha", "t9", "");
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
    }

    /** Descriptors for discovery and workers are reserved before clients are accepted. */
    @Test
    public void idleClientsDoNotTakeTheDescriptorsOfDiscovery() throws Exception {
        try (ReservedPort discoveryPort = new ReservedPort(InetAddress.getLoopbackAddress())) {
            fields.put("limits", "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":100}");
            fields.put("discovery", "\"127.0.0.1:" + discoveryPort.port() + "\"");
            workerB.status = "up";
            program = new RealProgram(fields, workerA);
            InetSocketAddress address = program.addressIn(" listening on ");
            program.awaitLog("discovery: watch ended");
            List<Exchange> idle = new ArrayList<>();
            for (int i = 0; i < 150; i++) {
                idle.add(program.connect(address, null));
            }
            // Some have sent a request, so that they are not the first to be closed.
            for (Exchange e : idle.subList(120, 150)) {
                e.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            assertEquals(idle.get(149).readStatus(), 200);
            try (ServerSocket discovery = new ServerSocket(discoveryPort.port(), 50, InetAddress.getLoopbackAddress())) {
                discovery.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
                Exchange watch = new Exchange(discovery.accept());
                watch.read();
                watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                workerA.status = "draining";
                watch.writeLines(list(2, true, workerA, workerB));
                program.awaitLog("discovery: list 2");
                Exchange client = program.connect(address, null).write(RealProgram.request("/ficha", "t1", TIME, "soup"));
                workerB.accept().startAnswer("done").endAnswer();
                assertEquals(client.readStatus(), 200);
                watch.close();
            }
            for (Exchange e : idle) {
                e.close();
            }
        }
    }
}
