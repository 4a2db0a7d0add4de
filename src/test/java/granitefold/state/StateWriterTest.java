package granitefold.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.recovery.LearnedState;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a planned end leaves behind, on a disk that takes its time. */
class StateWriterTest {
    private static final long PATIENCE_US = 30_000_000;
    private static final long OWN_BOUND_MS = 200;
    private final FaultyStorage memory = new FaultyStorage(1);
    /** A value is being forced; it may be through. */
    private final CountDownLatch forcing = new CountDownLatch(1), through = new CountDownLatch(1);
    private final Storage slow = new Storage() {
        @Override
        public byte[] read(String name, int most) {
            return memory.read(name, most);
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            memory.write(name, bytes);
        }

        @Override
        public void force(String name) throws IOException {
            forcing.countDown();
            try {
                through.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            memory.force(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            memory.rename(from, to);
        }

        @Override
        public void forceDirectory() throws IOException {
            memory.forceDirectory();
        }
    };
    private final StateWriter keeper = new StateWriter("slow", () -> slow, 2,
            new StateIndexMapping("n0", "s", 0, 1, List.of("acme"), List.of("m")), learned -> { });

    private static LearnedState learned(long at) {
        return new LearnedState(at, 0, 0, 0, 0, List.of(), List.of(), List.of(), List.of());
    }

    private long newest() {
        StateStore.LoadResult found = new StateStore(memory, 2).load();
        return found.content() == null ? 0 : found.content().learned().at();
    }

    @Test
    void thePlannedEndWaitsForTheLastValueForAsLongAsItMay() throws Exception {
        keeper.start();
        keeper.submit(learned(1));
        forcing.await();
        keeper.submit(learned(2));
        Thread ends = new Thread(() -> keeper.shutDown(PATIENCE_US));
        ends.start();
        // an end that had a bound of its own, shorter than the time there is, would be over
        ends.join(OWN_BOUND_MS);
        assertTrue(ends.isAlive(), "it ended before the disk had the last value");
        through.countDown();
        ends.join(TimeUnit.MICROSECONDS.toMillis(PATIENCE_US));
        assertEquals(2, newest());
    }

    @Test
    void aDiskThatTakesLongerThanTheEndMayDoesNotHoldIt() throws Exception {
        keeper.start();
        keeper.submit(learned(1));
        forcing.await();
        keeper.shutDown(1);
        assertEquals(0, newest(), "what was not forced has no name that is read");
        through.countDown();
    }
}
