package granitefold.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Messages between siblings of two versions: the bytes of version 0.1.0, and entries that only a later version knows. */
class MixedVersionsTest {
    /** A bucket's use and a worker's load as encoded by 0.1.0. */
    private static final String ENCODED_BY_0_1_0 = "e20202ac02b96001b1d1f9d6033e050e";
    private static final long[] ENTRIES = {1, 2, 300, 12345, -1, 987654321L, 62, 5};

    private static byte[] message(int... laterEntries) {
        byte[] message = SiblingMessage.begin();
        int length = SiblingMessage.MAGIC.length;
        length = SiblingMessage.putBucketUse(message, length, 1, 2, 300, 12345);
        for (int value : laterEntries) {
            length = SiblingMessage.putVarint(message, length, value);
        }
        length = SiblingMessage.putWorkerLoad(message, length, 987654321L, 1_234_567, 5);
        return SiblingMessage.end(message, length);
    }

    @Test
    void theEncodingIsThatOfThePreviousVersion() {
        assertEquals(ENCODED_BY_0_1_0, HexFormat.of().formatHex(message()));
        assertArrayEquals(ENTRIES, SiblingMessage.read(HexFormat.of().parseHex(ENCODED_BY_0_1_0), 2, 4));
    }

    /** Such a message was dropped as a whole, so that siblings in a fleet of two versions received nothing from each other. */
    @Test
    void anEntryOfALaterVersionIsSkippedAndTheOthersAreRead() {
        assertArrayEquals(ENTRIES, SiblingMessage.read(message(3, 1, 2, 3), 2, 4));
        assertArrayEquals(ENTRIES, SiblingMessage.read(message(3, 1, 2, 3, 127, 0, 0, 0), 2, 4));
        byte[] message = SiblingMessage.begin();
        int length = SiblingMessage.putVarint(message, SiblingMessage.putVarint(message, SiblingMessage.MAGIC.length, 3), 1);
        assertNull(SiblingMessage.read(SiblingMessage.end(message, length), 2, 4), "truncated within the entry");
    }
}
