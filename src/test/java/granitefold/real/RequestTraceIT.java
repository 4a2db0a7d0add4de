package granitefold.real;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Where the operator asks for it, the log follows one request by the id that its client gave. */
public class RequestTraceIT extends RealTest {
    @Test
    public void aRequestCanBeFollowedFromItsArrivalToTheCloseOfItsConnection() throws Exception {
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
    public void aRefusalTellsItsReason() throws Exception {
        useDeadlines(500);
        workerA.status = "draining";
        program = new RealProgram("log.requests = true", fields, workerA);
        program.acceptWatch(RealProgram.list(1, false));
        Exchange client = connected();
        client.write(RealProgram.request("/ficha", "t1", "X-Remaining-Ms: 300\r\nX-Estimate: 2000\r\n", "soup"));
        assertEquals(client.readStatus(), 503);
        program.awaitLog("request t1: answered: Rejected");
    }

    private Exchange connected() throws Exception {
        return program.connect(program.addressIn(" listening on "), null);
    }
}
