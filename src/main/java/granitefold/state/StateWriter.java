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
    private final Opener folder;
    private final String name;
    private final int submit;
    private final StateIndexMapping places;
    private final Consumer<LearnedState> recovered;
    private LearnedState next;
    private boolean ending;
    private boolean idle;
    private boolean failing;

    /** Takes hold of the folder. */
    interface Opener {
        Storage open() throws IOException;
    }

    /** {@code recovered} is told, on this keeper's thread, what a former life left. */
    public StateWriter(Path folder, int keep, StateIndexMapping places, Consumer<LearnedState> recovered) {
        this(folder.toString(), () -> DirectoryStorage.open(folder), keep, places, recovered);
    }

    StateWriter(String name, Opener folder, int keep, StateIndexMapping places, Consumer<LearnedState> recovered) {
        this.name = name;
        this.folder = folder;
        this.submit = keep;
        this.places = places;
        this.recovered = recovered;
    }

    public void start() {
        Thread thread = new Thread(this::run, "state");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes a newer value; from any thread. */
    public synchronized void submit(LearnedState learned) {
        next = learned;
        notifyAll();
    }

    /**
     * Waits for the last value to be on the disk, for so long as a planned end has left; one that is not by then is lost, and
     * that is told: the next life begins with an older one.
     */
    public void shutDown(long mostUs) {
        try {
            if (!awaitLast(mostUs)) {
                EventLog.log(LogEvent.STATE_PROBLEM, "the last value was not written before the end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean awaitLast(long mostUs) throws InterruptedException {
        ending = true;
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(mostUs);
        while (!idle && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
        return idle;
    }

    private void run() {
        try (Storage disk = folder.open()) {
            StateStore store = new StateStore(disk, submit);
            recover(store.load());
            for (LearnedState value = take(); value != null; value = take()) {
                write(store, value);
            }
        } catch (IOException e) {
            EventLog.log(LogEvent.STATE_PROBLEM, "nothing is kept: " + e.getMessage());
        } finally {
            done();
        }
    }

    private void recover(StateStore.LoadResult found) {
        found.problems().forEach(p -> EventLog.log(LogEvent.STATE_PROBLEM, p));
        LearnedState here = found.content() == null ? null : places.remap(found.content());
        if (here != null) {
            recovered.accept(here);
        } else if (found.content() != null) {
            EventLog.log(LogEvent.STATE_PROBLEM, places.mismatchReason(found.content()));
        } else {
            EventLog.log(LogEvent.STATE_EMPTY, name);
        }
    }

    private void write(StateStore store, LearnedState value) {
        try {
            store.save(places.toContent(value));
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                EventLog.log(LogEvent.STATE_PROBLEM, "not written, tried again each time: " + e);
            }
        }
    }

    private synchronized LearnedState take() {
        try {
            while (next == null && !ending) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        LearnedState value = next;
        next = null;
        return value;
    }

    private synchronized void done() {
        idle = true;
        notifyAll();
    }
}
