package granitefold.state;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.recovery.LearnedState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one thread that touches the folder: it reads once while the dispatcher begins to serve, then writes the newest
 * value that it was given; ones that come while a write goes on replace each other. A disk that is slow, full or gone
 * costs the loop nothing, and is tried again with the next value.
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

    /** Takes hold of the folder. */
    interface StorageOpener {
        Storage open() throws IOException;
    }

    /** {@code recovered} is told, on this keeper's thread, what a former life left. */
    public StateWriter(Path folder, int keep, StateIndexMapping places, Consumer<LearnedState> recovered) {
        this(folder.toString(), () -> DirectoryStorage.open(folder), keep, places, recovered);
    }

    StateWriter(String name, StorageOpener folder, int keep, StateIndexMapping places, Consumer<LearnedState> recovered) {
        this.storageName = name;
        this.storageOpener = folder;
        this.generations = keep;
        this.mapping = places;
        this.onRecovered = recovered;
    }

    public void start() {
        Thread thread = new Thread(this::run, "state");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes a newer value; from any thread. */
    public synchronized void submit(LearnedState learned) {
        pending = learned;
        notifyAll();
    }

    /**
     * Waits for the last value to be on the disk, for so long as a planned end has left; one that is not by then is lost, and
     * that is told: the next life begins with an older one.
     */
    public void shutDown(long mostUs) {
        try {
            if (!awaitFinished(mostUs)) {
                EventLog.log(LogEvent.STATE_PROBLEM, "the last value was not written before the end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean awaitFinished(long mostUs) throws InterruptedException {
        shuttingDown = true;
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(mostUs);
        while (!finished && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
        return finished;
    }

    private void run() {
        try (Storage disk = storageOpener.open()) {
            StateStore store = new StateStore(disk, generations);
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

    private void recover(StateStore.LoadResult found) {
        found.problems().forEach(p -> EventLog.log(LogEvent.STATE_PROBLEM, p));
        LearnedState here = found.content() == null ? null : mapping.remap(found.content());
        if (here != null) {
            onRecovered.accept(here);
        } else if (found.content() != null) {
            EventLog.log(LogEvent.STATE_PROBLEM, mapping.mismatchReason(found.content()));
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
                EventLog.log(LogEvent.STATE_PROBLEM, "not written, tried again each time: " + e);
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
