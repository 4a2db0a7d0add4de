package granitefold.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.recovery.LearnedState;
import granitefold.state.StateFile.Content;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Power loss and failing calls at every step of a save. */
class StateStoreTest {
    private static Content numbered(long n) {
        return new Content("n0", "s", 0, 1, List.of(), List.of(), new LearnedState(n, 1, 1, 1, 1, List.of(), List.of(), List.of(),
                List.of()));
    }

    /** A life: it loads, then saves; returns the number that the last save that came back had. */
    private static long load(FaultyStorage disk, int keep) {
        Content found = new StateStore(disk, keep).load().content();
        return found == null ? 0 : found.learned().at();
    }

    /** 4 steps of power loss within each of 3 saves, 500 outcomes of each: what is found was written whole and is not older. */
    @Test
    void aPowerLossAtAnyStepLeavesTheLastSaveOrTheOneInHand() throws IOException {
        int runs = 0;
        for (int keep = 2; keep <= 4; keep++) {
            for (int step = 0; step < 8; step++) {
                for (long seed = 0; seed < 500; seed++) {
                    FaultyStorage disk = new FaultyStorage(seed);
                    StateStore store = new StateStore(disk, keep);
                    store.load();
                    store.save(numbered(1));
                    store.save(numbered(2));
                    store.save(numbered(3));
                    disk.powerFor = step;
                    long told = 3;
                    try {
                        store.save(numbered(4));
                        told = 4;
                    } catch (FaultyStorage.PowerLoss e) {
                        // nothing was promised
                    }
                    disk.powerBack();
                    long found = load(disk, keep);
                    assertTrue(found == told || found == 4, "keep " + keep + " step " + step + " seed " + seed + ": " + found);
                    // and the next life writes on
                    StateStore next = new StateStore(disk, keep);
                    next.load();
                    next.save(numbered(5));
                    assertEquals(5, load(disk, keep));
                    runs++;
                }
            }
        }
        assertEquals(12_000, runs);
    }

    @Test
    void aFullDiskAtAnyStepLosesNothingThatWasThereAndIsTriedAgain() throws IOException {
        for (int step = 0; step < 6; step++) {
            FaultyStorage disk = new FaultyStorage(step);
            StateStore store = new StateStore(disk, 2);
            store.load();
            store.save(numbered(1));
            store.save(numbered(2));
            disk.failAt = step;
            boolean failed = false;
            try {
                store.save(numbered(3));
            } catch (IOException e) {
                failed = true;
            }
            assertTrue(load(disk, 2) >= 2, "step " + step);
            assertTrue(failed || step >= 5, "step " + step + " of " + disk.steps);
            disk.failAt = -1;
            store.save(numbered(4));
            assertEquals(4, load(disk, 2));
        }
    }

    @Test
    void aNewerFileIsSetAsideUntouchedAndAnOlderGenerationIsTaken() throws IOException {
        FaultyStorage disk = new FaultyStorage(1);
        byte[] newer = StateFileTest.version(StateFile.encode(numbered(9)), StateFile.VERSION + 1);
        disk.put(StateStore.NAME, newer);
        disk.put(StateStore.generation(1), StateFile.encode(numbered(8)));
        StateStore store = new StateStore(disk, 2);
        StateStore.LoadResult found = store.load();
        assertEquals(8, found.content().learned().at());
        assertEquals(1, found.problems().size());
        store.save(numbered(10));
        store.save(numbered(11));
        assertArrayEquals(newer, disk.read(StateStore.ASIDE, StateFile.MAX_LENGTH_BYTES));
    }

    @Test
    void whereItCannotBeSetAsideNothingIsWritten() throws IOException {
        FaultyStorage disk = new FaultyStorage(1);
        byte[] newer = StateFileTest.version(StateFile.encode(numbered(9)), StateFile.VERSION + 1);
        disk.put(StateStore.NAME, newer);
        disk.failAt = 0;
        StateStore store = new StateStore(disk, 2);
        assertNull(store.load().content());
        assertThrows(IOException.class, () -> store.save(numbered(10)));
        assertArrayEquals(newer, disk.read(StateStore.NAME, StateFile.MAX_LENGTH_BYTES));
    }

    @Test
    void aDamagedFileIsToldAndTheOneBeforeIsTaken() throws IOException {
        FaultyStorage disk = new FaultyStorage(1);
        byte[] damaged = StateFile.encode(numbered(2));
        damaged[40] ^= 4;
        disk.put(StateStore.NAME, damaged);
        disk.put(StateStore.generation(1), StateFile.encode(numbered(1)));
        StateStore.LoadResult found = new StateStore(disk, 2).load();
        assertEquals(1, found.content().learned().at());
        assertTrue(found.problems().get(0).startsWith("learned.state: at byte "), found.problems().get(0));
    }
}
