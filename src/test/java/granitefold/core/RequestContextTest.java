package granitefold.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class RequestContextTest {
    /** Guards against bodies of gone clients that are held until their attempts end, uncounted. */
    @Test
    void finishedRequestHoldsNoPayload() {
        RequestContext context = new RequestContext(1, 7, new Submission("t", 0, 0, 1_000, 0, 1, 0, 0, new Payload() { }), 2_000, 1_000);
        context.finish();
        assertNull(context.submission().payload());
        assertEquals("t", context.submission().name());
    }
}
