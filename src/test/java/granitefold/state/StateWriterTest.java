package granitefold.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.recovery.LearnedState;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks what a graceful shutdown saves when the storage is slow. */
class StateWriterTest {
    private static final long TIMEOUT_US = 30_000_000;
    private static final long EARLY_END_MS = 200;
    private final FaultyStorage memory = new FaultyStorage(1);
    /** Signals that a value is being forced, and allows that call to finish. */
    private final CountDownLatch forceStarted = new CountDownLatch(1), forceAllowed = new CountDownLatch(1);
    private final Storage slowStorage = new Storage() {
        @Override
        public byte[] read(String name, int maxBytes) {
            return memory.read(name, maxBytes);
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            memory.write(name, bytes);
        }

        @Override
        public void force(String name) throws IOException {
            forceStarted.countDown();
            try {
                forceAllowed.await();
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
    private final StateWriter writer = new StateWriter("slow", () -> slowStorage, 2,
            new StateIndexMapping("n0", "s", 0, 1, List.of("acme"), List.of("m")), learned -> { });

    private static LearnedState learned(long at) {
        return new LearnedState(at, 0, 0, 0, 0, List.of(), List.of(), List.of(), List.of());
    }

    private long newest() {
        StateStore.LoadResult found = new StateStore(memory, 2).load();
        return found.content() == null ? 0 : found.content().learned().at();
    }

    @Test
    void shutdownWaitsForTheLastValue() throws Exception {
        writer.start();
        writer.submit(learned(1));
        forceStarted.await();
        writer.submit(learned(2));
        Thread shutdown = new Thread(() -> writer.shutDown(TIMEOUT_US));
        shutdown.start();
        // A shutdown with a limit of its own, shorter than the given time, would have ended by now.
        shutdown.join(EARLY_END_MS);
        assertTrue(shutdown.isAlive(), "the shutdown ended before the last value was stored");
        forceAllowed.countDown();
        shutdown.join(TimeUnit.MICROSECONDS.toMillis(TIMEOUT_US));
        assertEquals(2, newest());
    }

    @Test
    void slowStorageDoesNotDelayShutdownBeyondItsLimit() throws Exception {
        writer.start();
        writer.submit(learned(1));
        forceStarted.await();
        writer.shutDown(1);
        assertEquals(0, newest(), "content that was not forced has no name that is read");
        forceAllowed.countDown();
    }
}
