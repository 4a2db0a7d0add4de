package granitefold.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.recovery.LearnedState;
import granitefold.state.StateFile.Content;
import granitefold.state.StateFile.Fault;
import granitefold.state.StateFile.UnreadableFileException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A file is decoded exactly as it was encoded, or rejected. */
class StateFileTest {
    static Content content(int workers, long seed) {
        return content(workers, seed, "s" + seed % 10);
    }

    private static Content content(int workers, long seed, String settings) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LearnedState.Worker> workerList = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            workerList.add(new LearnedState.Worker(random.nextLong(1L << 42), random.nextInt(-1, 2), random.nextLong(1L << 50),
                    random.nextLong(1L << 50), random.nextDouble(-9, 9), random.nextDouble(20), random.nextInt(9), random.nextDouble(1e6),
                    random.longs(random.nextInt(20)).boxed().toList()));
        }
        return new Content("n" + random.nextInt(9), settings, 1, 3, List.of("cocina-de-casa", "dulce-tarde"), List.of("nuevo-5n", "viejo-6n"),
                new LearnedState(random.nextLong(1L << 50), 3e5, 6.5, 4e5, 900, List.of(new LearnedState.Kind(1, -0.3, 40, 6)), workerList,
                List.of(new LearnedState.Bucket(0, List.of(5L, 6L, 7L), 123.5, 99)), List.of(new LearnedState.Key(random.nextLong(), 77))));
    }

    @Property(tries = 200)
    void decodingReturnsTheEncodedContent(@ForAll long seed, @ForAll @IntRange(max = 40) int workers) throws UnreadableFileException {
        Content content = content(workers, seed);
        assertEquals(content, StateFile.decode(StateFile.encode(content)));
    }

    /** A file that version 0.1.0 wrote. */
    @Test
    void fileOfVersion010IsRead() throws Exception {
        byte[] golden = java.nio.file.Files.readAllBytes(java.nio.file.Path.of("src/test/resources/golden/learned-1.state"));
        assertEquals(content(5, 42, ""), StateFile.decode(golden), "the file has no settings key, so it matches no settings");
    }

    /** Tries every prefix of a file and every flip of one bit. */
    @Test
    void truncatedAndCorruptedFilesAreRejected() {
        byte[] file = StateFile.encode(content(12, 3));
        int refused = 0;
        for (int length = 0; length < file.length; length++) {
            byte[] truncated = Arrays.copyOf(file, length);
            assertThrows(UnreadableFileException.class, () -> StateFile.decode(truncated));
            refused++;
        }
        for (int bit = 0; bit < file.length * 8; bit++) {
            byte[] flipped = file.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(UnreadableFileException.class, () -> StateFile.decode(flipped), "bit " + bit);
            refused++;
        }
        assertEquals(file.length * 9, refused);
        assertThrows(UnreadableFileException.class, () -> StateFile.decode(Arrays.copyOf(file, file.length + 1)), "longer");
    }

    @Test
    void otherVersionsAndForeignFilesAreDistinguished() {
        byte[] file = StateFile.encode(content(2, 1));
        assertEquals(Fault.NEWER, fault(withVersion(file, StateFile.VERSION + 1)));
        assertEquals(Fault.FOREIGN, fault(withVersion(file, StateFile.VERSION - 1)), "there was no version 0");
        byte[] foreign = file.clone();
        foreign[0] = 'G';
        assertEquals(Fault.FOREIGN, fault(foreign));
        assertEquals(Fault.DAMAGED, fault(new byte[0]));
    }

    static byte[] withVersion(byte[] file, int version) {
        byte[] other = file.clone();
        ByteBuffer.wrap(other).putShort(StateFile.MAGIC.length, (short) version);
        CRC32C crc = new CRC32C();
        crc.update(other, 0, 28);
        ByteBuffer.wrap(other).putInt(28, (int) crc.getValue());
        return other;
    }

    private static Fault fault(byte[] file) {
        return assertThrows(UnreadableFileException.class, () -> StateFile.decode(file)).fault();
    }

    @Test
    void tenThousandWorkersFitIntoFourMebibytes() {
        SplittableRandom random = new SplittableRandom(5);
        List<LearnedState.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            workers.add(new LearnedState.Worker(random.nextLong(1L << 42), 1, 0, 0, random.nextDouble(), 20, 6, 0,
                    random.longs(12).boxed().toList()));
        }
        List<LearnedState.Bucket> buckets = new ArrayList<>();
        for (int i = 0; i < 4096; i++) {
            buckets.add(new LearnedState.Bucket(i, List.of(random.nextLong(1L << 40), 0L, 0L), random.nextDouble(1e9), 1L << 50));
        }
        byte[] file = StateFile.encode(new Content("n", "s", 0, 3, List.of(), List.of(),
                new LearnedState(0, 1, 1, 1, 1, List.of(), workers, buckets, List.of())));
        assertTrue(file.length < 4 << 20, file.length + " bytes");
    }

    @Test
    void indicesFollowNamesAndForeignFilesAreRejected() {
        Content content = content(3, 9);
        StateIndexMapping reordered = new StateIndexMapping(content.name(), content.settings(), 0, 2,
                List.of("dulce-tarde", "cocina-de-casa"), List.of("viejo-6n"));
        LearnedState remapped = reordered.remap(content);
        assertEquals(0, remapped.kinds().get(0).kind());
        assertEquals(1, remapped.buckets().get(0).tenant());
        assertEquals(List.of(6L, 0L), remapped.buckets().get(0).used(), "the own use moves to the new index, the others' is unknown");
        assertTrue(remapped.workers().stream().allMatch(p -> p.kind() == -1 || p.kind() == 0));
        assertEquals(null, new StateIndexMapping("other", content.settings(), 0, 2, List.of(), List.of()).remap(content));
        assertEquals(null, new StateIndexMapping(content.name(), "others", 0, 2, List.of(), List.of()).remap(content));
    }
}
