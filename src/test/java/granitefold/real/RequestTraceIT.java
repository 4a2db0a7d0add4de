package granitefold.real;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** With log.requests, the log lists the steps of each request under the id that its client gave. */
public class RequestTraceIT extends RealTest {
    @Test
    public void requestIsLoggedFromItsArrivalToTheCloseOfItsConnection() throws Exception {
        program = new RealProgram("log.requests = true", fields, workerA);
        program.awaitServing();
        Exchange client = send("/ficha?sid=1", "t1", "");
        workerA.accept().startAnswer("done").endAnswer();
        assertEquals(client.readStatus(), 200);
        client.close();
        program.awaitLog("client 1: connected");
        program.awaitLog("request t1: taken as 1 of client 1, class 0");
        program.awaitLog("request t1: attempt 0 to s-a on connection 0");
        program.awaitLog("request t1: attempt 0 is sent");
        program.awaitLog("request t1: answered: Served");
        program.awaitLog("request t1: attempt 0 ended: SERVED");
        program.awaitLog("client 1: closed: CLIENT");
    }

    @Test
    public void rejectionIsLogged() throws Exception {
        useDeadlines(500);
        workerA.status = "draining";
        program = new RealProgram("log.requests = true", fields, workerA);
        program.acceptWatch(RealProgram.list(1, false));
        Exchange client = connectClient();
        client.write(RealProgram.request("/ficha", "t1", "X-Remaining-Ms: 300\r\nX-Estimate: 2000\r\n", "soup"));
        assertEquals(client.readStatus(), 503);
        program.awaitLog("request t1: answered: Rejected");
    }

    private Exchange connectClient() throws Exception {
        return program.connect(program.addressIn(" listening on "), null);
    }
}
