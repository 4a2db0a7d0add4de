package granitefold.standin.ground;

import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

/**
 * Records how long the dispatchers' threads that handle input were ready to run and got no processor, as the kernel counts it,
 * and how late the test bed itself ran. On a busy machine a dispatcher cannot answer for that time.
 */
final class ProcessorWaitMonitor {
    private static final long INTERVAL_NS = 20_000_000, MIN_RECORDED_WAIT_US = 1_000, MIN_RECORDED_LAG_US = 10_000;
    /** Processes and their threads are searched for once in this many rounds. */
    private static final int ROUNDS_PER_SEARCH = 10;
    /** Names of the threads that accept connections, and that read, decide and write. */
    private static final Set<String> INPUT_THREADS = Set.of("acceptor", "dispatcher");
    /** Index of the field of schedstat with the nanoseconds spent waiting for a processor. */
    private static final int WAIT_FIELD = 1;

    private final List<DispatcherUnderTest> fleet;
    private final History history;
    /** The schedstat files of each dispatcher's threads, and the wait that each of them showed last. */
    private final Map<DispatcherUnderTest, List<Path>> threadFiles = new HashMap<>();
    private final Map<Path, Long> lastWaitUs = new HashMap<>();
    private volatile boolean closed;

    ProcessorWaitMonitor(List<DispatcherUnderTest> fleet, History history) {
        this.fleet = fleet;
        this.history = history;
    }

    void start() {
        LoopbackServer.startDaemon(this::run, "processor waits");
    }

    void close() {
        closed = true;
    }

    private void run() {
        long sampledNs = System.nanoTime();
        for (long round = 0; !closed; round++) {
            long dueNs = System.nanoTime() + INTERVAL_NS;
            LockSupport.parkNanos(INTERVAL_NS);
            recordLag((System.nanoTime() - dueNs) / 1000);
            long previousNs = sampledNs;
            sampledNs = System.nanoTime();
            if (round % ROUNDS_PER_SEARCH == 0) {
                fleet.forEach(dispatcher -> threadFiles.put(dispatcher, findThreads(dispatcher)));
            }
            threadFiles.forEach((dispatcher, files) -> files.forEach(file -> recordWait(dispatcher.name, file, previousNs)));
        }
    }

    private void recordLag(long lateUs) {
        if (lateUs >= MIN_RECORDED_LAG_US) {
            history.add(new Entry(history.now(), What.LATE, "harness", null, null, null, null, null, null, lateUs, null));
        }
    }

    private void recordWait(String dispatcher, Path file, long previousNs) {
        try {
            long waitUs = Long.parseLong(Files.readString(file).split(" ")[WAIT_FIELD]) / 1000;
            Long before = lastWaitUs.put(file, waitUs);
            if (before != null && waitUs - before >= MIN_RECORDED_WAIT_US) {
                long intervalUs = (System.nanoTime() - previousNs) / 1000;
                history.add(new Entry(history.now(), What.LATE, dispatcher, null, null, null, null, null, null, waitUs - before,
                        Long.toString(intervalUs)));
            }
        } catch (IOException e) {
            // the thread has exited
        }
    }

    /** Returns the schedstat files of the threads that handle input in a dispatcher's running processes. */
    private static List<Path> findThreads(DispatcherUnderTest dispatcher) {
        List<Path> files = new ArrayList<>();
        for (long pid : dispatcher.processIds()) {
            File[] threads = new File("/proc/" + pid + "/task").listFiles();
            for (File thread : threads == null ? new File[0] : threads) {
                try {
                    if (INPUT_THREADS.contains(Files.readString(thread.toPath().resolve("comm")).trim())) {
                        files.add(thread.toPath().resolve("schedstat"));
                    }
                } catch (IOException e) {
                    // the thread has exited
                }
            }
        }
        return files;
    }
}
