package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** What goes between neighbours of two versions: the bytes of version 0.1.0, and an entry that only a later one knows. */
class MixedVersionsTest {
    /** A bucket's use and a worker's load, as 0.1.0 writes them. */
    private static final String GOLDEN = "e20202ac02b96001b1d1f9d6033e050e";
    private static final long[] ENTRIES = {1, 2, 300, 12345, -1, 987654321L, 62, 5};

    private static byte[] message(int... later) {
        byte[] m = SiblingMessage.begin();
        int at = SiblingMessage.MAGIC.length;
        at = SiblingMessage.putBucketUse(m, at, 1, 2, 300, 12345);
        for (int v : later) {
            at = SiblingMessage.putVarint(m, at, v);
        }
        at = SiblingMessage.putWorkerLoad(m, at, 987654321L, 1_234_567, 5);
        return SiblingMessage.end(m, at);
    }

    @Test
    void theBytesAreThoseOfTheVersionBefore() {
        assertEquals(GOLDEN, HexFormat.of().formatHex(message()));
        assertArrayEquals(ENTRIES, SiblingMessage.read(HexFormat.of().parseHex(GOLDEN), 2, 4));
    }

    /** Such a message was dropped whole: siblings of a mixed fleet heard nothing of each other. */
    @Test
    void anEntryOfALaterVersionIsSkippedAndTheRestIsHeard() {
        assertArrayEquals(ENTRIES, SiblingMessage.read(message(3, 1, 2, 3), 2, 4));
        assertArrayEquals(ENTRIES, SiblingMessage.read(message(3, 1, 2, 3, 127, 0, 0, 0), 2, 4));
        byte[] m = SiblingMessage.begin();
        int at = SiblingMessage.putVarint(m, SiblingMessage.putVarint(m, SiblingMessage.MAGIC.length, 3), 1);
        assertNull(SiblingMessage.read(SiblingMessage.end(m, at), 2, 4), "cut within it");
    }
}
