package granitefold.real;

import java.io.IOException;

/** A client that sends one request on a new connection and waits for as long as an answer counts. */
final class SoundClient {
    static final int DEADLINE_MS = 5_000;
    /** How late an answer may be before the request counts as lost. */
    private static final int MAX_LATE_MS = 500;
    /** Stands for the status of an answer that did not come. */
    static final int UNANSWERED = 0;

    private SoundClient() { }

    /** Returns the status of the answer, which may be a rejection, or {@link #UNANSWERED}. */
    static int request(RealProgram program, String txn, int estimateUs) {
        try (Exchange client = program.client()) {
            client.socket.setSoTimeout(DEADLINE_MS + MAX_LATE_MS);
            client.write(RealProgram.request("/ficha", txn, "X-Estimate: " + estimateUs + "\r\nX-Remaining-Ms: " + DEADLINE_MS + "\r\n", "soup"));
            return client.readStatus();
        } catch (IOException | NullPointerException e) {
            return UNANSWERED;
        }
    }
}
