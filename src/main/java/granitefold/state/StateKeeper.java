package granitefold.state;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.recovery.Learned;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one thread that touches the folder: it reads once while the dispatcher begins to serve, then writes the newest
 * value that it was given; ones that come while a write goes on replace each other. A disk that is slow, full or gone
 * costs the loop nothing, and is tried again with the next value.
 */
public final class StateKeeper {
    /** Clients have their answers by then; the process may be killed soon after. */
    private static final long END_MS = 80;

    private final Path folder;
    private final int keep;
    private final Places places;
    private final Consumer<Learned> recovered;
    private Learned next;
    private boolean ending;
    private boolean idle;
    private boolean failing;

    /** {@code recovered} is told, on this keeper's thread, what a former life left. */
    public StateKeeper(Path folder, int keep, Places places, Consumer<Learned> recovered) {
        this.folder = folder;
        this.keep = keep;
        this.places = places;
        this.recovered = recovered;
    }

    public void start() {
        Thread thread = new Thread(this::run, "state");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes a newer value; from any thread. */
    public synchronized void keep(Learned learned) {
        next = learned;
        notifyAll();
    }

    /** Waits for the last value to be written, within what is left of a planned end. */
    public void endQuietly() {
        try {
            end(END_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void end(long mostMs) throws InterruptedException {
        ending = true;
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (!idle && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
    }

    private void run() {
        try (RealDisk disk = RealDisk.open(folder)) {
            StateStore store = new StateStore(disk, keep);
            recover(store.load());
            for (Learned value = take(); value != null; value = take()) {
                write(store, value);
            }
        } catch (IOException e) {
            EventLog.log(LogEvent.STATE_PROBLEM, "nothing is kept: " + e.getMessage());
        } finally {
            done();
        }
    }

    private void recover(StateStore.Found found) {
        found.problems().forEach(p -> EventLog.log(LogEvent.STATE_PROBLEM, p));
        Learned here = found.content() == null ? null : places.here(found.content());
        if (here != null) {
            recovered.accept(here);
        } else if (found.content() != null) {
            EventLog.log(LogEvent.STATE_PROBLEM, "the file is of " + found.content().name() + ", not " + places.name());
        } else {
            EventLog.log(LogEvent.STATE_EMPTY, folder);
        }
    }

    private void write(StateStore store, Learned value) {
        try {
            store.save(places.content(value));
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                EventLog.log(LogEvent.STATE_PROBLEM, "not written, tried again each time: " + e);
            }
        }
    }

    private synchronized Learned take() {
        try {
            while (next == null && !ending) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        Learned value = next;
        next = null;
        return value;
    }

    private synchronized void done() {
        idle = true;
        notifyAll();
    }
}
