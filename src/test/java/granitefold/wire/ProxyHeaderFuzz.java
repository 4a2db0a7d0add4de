package granitefold.wire;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.ByteBuffer;

/** Any bytes are a header, the start of one, or refused; what is not a whole header moves nothing. */
class ProxyHeaderFuzz {
    @FuzzTest(maxDuration = "8s")
    void decode(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            ProxyHeader h = ProxyHeader.decode(in);
            if (h == null && in.position() != 0 || h != null && in.position() < 13) {
                throw new AssertionError("moved to " + in.position() + " for " + h);
            }
            if (h == null && bytes.length > 16 + ProxyHeader.MAX_V2_BYTES) {
                throw new AssertionError("waits for more than a header may have");
            }
        } catch (BadRequestException e) {
            // refused, as it should be
        }
    }
}
