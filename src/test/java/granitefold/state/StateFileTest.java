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

/** A file is read as it was written, or not at all. */
class StateFileTest {
    static Content content(int workers, long seed) {
        return content(workers, seed, "s" + seed % 10);
    }

    private static Content content(int workers, long seed, String settings) {
        SplittableRandom r = new SplittableRandom(seed);
        List<LearnedState.Worker> ps = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            ps.add(new LearnedState.Worker(r.nextLong(1L << 42), r.nextInt(-1, 2), r.nextLong(1L << 50), r.nextLong(1L << 50),
                    r.nextDouble(-9, 9), r.nextDouble(20), r.nextInt(9), r.nextDouble(1e6),
                    r.longs(r.nextInt(20)).boxed().toList()));
        }
        return new Content("n" + r.nextInt(9), settings, 1, 3, List.of("cocina-de-casa", "dulce-tarde"), List.of("nuevo-5n", "viejo-6n"),
                new LearnedState(r.nextLong(1L << 50), 3e5, 6.5, 4e5, 900, List.of(new LearnedState.Kind(1, -0.3, 40, 6)), ps,
                List.of(new LearnedState.Bucket(0, List.of(5L, 6L, 7L), 123.5, 99)), List.of(new LearnedState.Key(r.nextLong(), 77))));
    }

    @Property(tries = 200)
    void whatIsWrittenIsRead(@ForAll long seed, @ForAll @IntRange(max = 40) int workers) throws UnreadableFileException {
        Content c = content(workers, seed);
        assertEquals(c, StateFile.decode(StateFile.encode(c)));
    }

    /** A file that version 0.1.0 wrote. */
    @Test
    void aFileOfTheVersionBeforeIsRead() throws Exception {
        byte[] golden = java.nio.file.Files.readAllBytes(java.nio.file.Path.of("src/test/resources/golden/learned-1.state"));
        assertEquals(content(5, 42, ""), StateFile.decode(golden), "it does not say what its settings were, and is nobody's");
    }

    /** Every prefix and every flipped bit of a real file. */
    @Test
    void noPrefixAndNoFlippedBitIsTakenForAFile() {
        byte[] file = StateFile.encode(content(12, 3));
        int refused = 0;
        for (int n = 0; n < file.length; n++) {
            byte[] cut = Arrays.copyOf(file, n);
            assertThrows(UnreadableFileException.class, () -> StateFile.decode(cut));
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
    void anotherVersionOrProgramIsToldApart() {
        byte[] file = StateFile.encode(content(2, 1));
        assertEquals(Fault.NEWER, fault(version(file, StateFile.VERSION + 1)));
        assertEquals(Fault.FOREIGN, fault(version(file, StateFile.VERSION - 1)), "there was no version 0");
        byte[] foreign = file.clone();
        foreign[0] = 'G';
        assertEquals(Fault.FOREIGN, fault(foreign));
        assertEquals(Fault.DAMAGED, fault(new byte[0]));
    }

    static byte[] version(byte[] file, int version) {
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
    void tenThousandWorkersStayUnderTheirBound() {
        SplittableRandom r = new SplittableRandom(5);
        List<LearnedState.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            workers.add(new LearnedState.Worker(r.nextLong(1L << 42), 1, 0, 0, r.nextDouble(), 20, 6, 0, r.longs(12).boxed().toList()));
        }
        List<LearnedState.Bucket> buckets = new ArrayList<>();
        for (int i = 0; i < 4096; i++) {
            buckets.add(new LearnedState.Bucket(i, List.of(r.nextLong(1L << 40), 0L, 0L), r.nextDouble(1e9), 1L << 50));
        }
        byte[] file = StateFile.encode(new Content("n", "s", 0, 3, List.of(), List.of(), new LearnedState(0, 1, 1, 1, 1, List.of(), workers,
                buckets, List.of())));
        assertTrue(file.length < 4 << 20, file.length + " bytes");
    }

    @Test
    void placesFollowTheirNamesAndAnothersFileIsNotOurs() {
        Content c = content(3, 9);
        StateIndexMapping turned = new StateIndexMapping(c.name(), c.settings(), 0, 2, List.of("dulce-tarde", "cocina-de-casa"), List.of("viejo-6n"));
        LearnedState here = turned.remap(c);
        assertEquals(0, here.kinds().get(0).kind());
        assertEquals(1, here.buckets().get(0).tenant());
        assertEquals(List.of(6L, 0L), here.buckets().get(0).used(), "our own use moves to our number, others' are unknown");
        assertTrue(here.workers().stream().allMatch(p -> p.kind() == -1 || p.kind() == 0));
        assertEquals(null, new StateIndexMapping("other", c.settings(), 0, 2, List.of(), List.of()).remap(c));
        assertEquals(null, new StateIndexMapping(c.name(), "others", 0, 2, List.of(), List.of()).remap(c));
    }
}
