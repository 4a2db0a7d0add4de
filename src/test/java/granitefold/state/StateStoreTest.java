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

/** Checks saves with a power loss or a failing call at every step. */
class StateStoreTest {
    private static Content numbered(long number) {
        return new Content("n0", "s", 0, 1, List.of(), List.of(), new LearnedState(number, 1, 1, 1, 1, List.of(), List.of(), List.of(),
                List.of()));
    }

    /** Loads as a new process does; returns the number of the content, or 0 if there is none. */
    private static long load(FaultyStorage storage, int keep) {
        Content found = new StateStore(storage, keep).load().content();
        return found == null ? 0 : found.learned().at();
    }

    /**
     * A power loss at each of 8 steps of a save, with 2 to 4 generations and 500 random outcomes each. The content found
     * afterwards is complete and not older than the last completed save.
     */
    @Test
    void powerLossAtAnyStepKeepsTheLastOrCurrentSave() throws IOException {
        int runs = 0;
        for (int keep = 2; keep <= 4; keep++) {
            for (int step = 0; step < 8; step++) {
                for (long seed = 0; seed < 500; seed++) {
                    FaultyStorage storage = new FaultyStorage(seed);
                    StateStore store = new StateStore(storage, keep);
                    store.load();
                    store.save(numbered(1));
                    store.save(numbered(2));
                    store.save(numbered(3));
                    storage.stepsToPowerLoss = step;
                    long saved = 3;
                    try {
                        store.save(numbered(4));
                        saved = 4;
                    } catch (FaultyStorage.PowerLoss e) {
                        // The save did not return, so it need not have been stored.
                    }
                    storage.restorePower();
                    long found = load(storage, keep);
                    assertTrue(found == saved || found == 4, "keep " + keep + " step " + step + " seed " + seed + ": " + found);
                    // The next process can save again.
                    StateStore next = new StateStore(storage, keep);
                    next.load();
                    next.save(numbered(5));
                    assertEquals(5, load(storage, keep));
                    runs++;
                }
            }
        }
        assertEquals(12_000, runs);
    }

    @Test
    void fullDiskAtAnyStepKeepsSavedDataAndAllowsRetry() throws IOException {
        for (int step = 0; step < 6; step++) {
            FaultyStorage storage = new FaultyStorage(step);
            StateStore store = new StateStore(storage, 2);
            store.load();
            store.save(numbered(1));
            store.save(numbered(2));
            storage.stepsToFailure = step;
            boolean failed = false;
            try {
                store.save(numbered(3));
            } catch (IOException e) {
                failed = true;
            }
            assertTrue(load(storage, 2) >= 2, "step " + step);
            assertTrue(failed || step >= 5, "step " + step + " of " + storage.stepCount);
            storage.stepsToFailure = -1;
            store.save(numbered(4));
            assertEquals(4, load(storage, 2));
        }
    }

    @Test
    void newerFileIsSetAsideAndOlderGenerationIsLoaded() throws IOException {
        FaultyStorage storage = new FaultyStorage(1);
        byte[] newer = StateFileTest.withVersion(StateFile.encode(numbered(9)), StateFile.VERSION + 1);
        storage.put(StateStore.CURRENT, newer);
        storage.put(StateStore.generationName(1), StateFile.encode(numbered(8)));
        StateStore store = new StateStore(storage, 2);
        StateStore.LoadResult found = store.load();
        assertEquals(8, found.content().learned().at());
        assertEquals(1, found.problems().size());
        store.save(numbered(10));
        store.save(numbered(11));
        assertArrayEquals(newer, storage.read(StateStore.SET_ASIDE, StateFile.MAX_LENGTH_BYTES));
    }

    @Test
    void nothingIsWrittenIfSettingAsideFails() throws IOException {
        FaultyStorage storage = new FaultyStorage(1);
        byte[] newer = StateFileTest.withVersion(StateFile.encode(numbered(9)), StateFile.VERSION + 1);
        storage.put(StateStore.CURRENT, newer);
        storage.stepsToFailure = 0;
        StateStore store = new StateStore(storage, 2);
        assertNull(store.load().content());
        assertThrows(IOException.class, () -> store.save(numbered(10)));
        assertArrayEquals(newer, storage.read(StateStore.CURRENT, StateFile.MAX_LENGTH_BYTES));
    }

    @Test
    void damagedFileIsReportedAndPreviousGenerationIsLoaded() throws IOException {
        FaultyStorage storage = new FaultyStorage(1);
        byte[] damaged = StateFile.encode(numbered(2));
        damaged[40] ^= 4;
        storage.put(StateStore.CURRENT, damaged);
        storage.put(StateStore.generationName(1), StateFile.encode(numbered(1)));
        StateStore.LoadResult found = new StateStore(storage, 2).load();
        assertEquals(1, found.content().learned().at());
        assertTrue(found.problems().get(0).startsWith("learned.state: at byte "), found.problems().get(0));
    }
}
