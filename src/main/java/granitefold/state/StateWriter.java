package granitefold.state;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads and writes the state directory on a thread of its own. The thread reads once, while the dispatcher already begins
 * to serve, and then writes the newest submitted value; values submitted during a write replace each other. A disk that
 * is slow, full or missing does not delay the event loop, and the write is retried with the next value.
 */
public final class StateWriter {
    private final StorageOpener storageOpener;
    private final String storageName;
    private final int generations;
    private final StateIndexMapping mapping;
    private final Consumer<LearnedState> onRecovered;
    private LearnedState pending;
    private boolean shuttingDown;
    private boolean finished;
    private boolean lastWriteFailed;

    /** Opens the storage. */
    interface StorageOpener {
        Storage open() throws IOException;
    }

    /** Creates a writer; its thread passes the state that a previous process saved to {@code onRecovered}. */
    public StateWriter(Path directory, int generations, StateIndexMapping mapping, Consumer<LearnedState> onRecovered) {
        this(directory.toString(), () -> DirectoryStorage.open(directory), generations, mapping, onRecovered);
    }

    StateWriter(String storageName, StorageOpener storageOpener, int generations, StateIndexMapping mapping,
            Consumer<LearnedState> onRecovered) {
        this.storageName = storageName;
        this.storageOpener = storageOpener;
        this.generations = generations;
        this.mapping = mapping;
        this.onRecovered = onRecovered;
    }

    public void start() {
        Thread thread = new Thread(this::run, "state");
        thread.setDaemon(true);
        thread.start();
    }

    /** Submits a newer value to be written; may be called from any thread. */
    public synchronized void submit(LearnedState learned) {
        pending = learned;
        notifyAll();
    }

    /**
     * Waits until the last value is written, for at most the time that is left of the graceful shutdown. A value that is not
     * written by then is lost, which is logged: the next process starts with an older one.
     */
    public void shutDown(long maxWaitUs) {
        try {
            if (!awaitFinished(maxWaitUs)) {
                EventLog.log(LogEvent.STATE_PROBLEM, "the last value was not written before the end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean awaitFinished(long maxWaitUs) throws InterruptedException {
        shuttingDown = true;
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(maxWaitUs);
        while (!finished && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
        return finished;
    }

    private void run() {
        try (Storage storage = storageOpener.open()) {
            StateStore store = new StateStore(storage, generations);
            recover(store.load());
            for (LearnedState value = awaitPending(); value != null; value = awaitPending()) {
                write(store, value);
            }
        } catch (IOException e) {
            EventLog.log(LogEvent.STATE_PROBLEM, "nothing is kept: " + e.getMessage());
        } finally {
            markFinished();
        }
    }

    private void recover(StateStore.LoadResult loaded) {
        loaded.problems().forEach(problem -> EventLog.log(LogEvent.STATE_PROBLEM, problem));
        LearnedState learned = loaded.content() == null ? null : mapping.remap(loaded.content());
        if (learned != null) {
            onRecovered.accept(learned);
        } else if (loaded.content() != null) {
            EventLog.log(LogEvent.STATE_PROBLEM, mapping.mismatchReason(loaded.content()));
        } else {
            EventLog.log(LogEvent.STATE_EMPTY, storageName);
        }
    }

    private void write(StateStore store, LearnedState value) {
        try {
            store.save(mapping.toContent(value));
            lastWriteFailed = false;
        } catch (IOException e) {
            if (!lastWriteFailed) {
                lastWriteFailed = true;
                EventLog.log(LogEvent.STATE_PROBLEM, "not written, retried with the next value: " + e);
            }
        }
    }

    private synchronized LearnedState awaitPending() {
        try {
            while (pending == null && !shuttingDown) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        LearnedState value = pending;
        pending = null;
        return value;
    }

    private synchronized void markFinished() {
        finished = true;
        notifyAll();
    }
}
