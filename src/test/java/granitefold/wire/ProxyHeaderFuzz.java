package granitefold.wire;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.ByteBuffer;

/** Any bytes are a header, the start of one, or rejected; an incomplete header does not move the position. */
class ProxyHeaderFuzz {
    @FuzzTest(maxDuration = "8s")
    void decode(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            ProxyHeader header = ProxyHeader.decode(in);
            if (header == null && in.position() != 0 || header != null && in.position() < 13) {
                throw new AssertionError("moved to " + in.position() + " for " + header);
            }
            if (header == null && bytes.length > 16 + ProxyHeader.MAX_V2_BYTES) {
                throw new AssertionError("waits for more than a header may have");
            }
        } catch (BadRequestException e) {
            // expected for invalid headers
        }
    }
}
