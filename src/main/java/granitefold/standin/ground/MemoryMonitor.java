package granitefold.standin.ground;

import granitefold.standin.LoopbackServer;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Records each process whose resident size has passed the memory limit of its configuration, once. Not for dispatchers with a keeper:
 * their processes are found by a search through all processes of the machine.
 */
final class MemoryMonitor {
    private static final long INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final String PEAK_FIELD = "VmHWM:";
    private static final int KB_PER_MB = 1024;

    private final List<DispatcherUnderTest> fleet;
    private final History history;
    private final int limitMb;
    private final Set<Long> recorded = new HashSet<>();
    private volatile boolean closed;

    MemoryMonitor(List<DispatcherUnderTest> fleet, History history, int limitMb) {
        this.fleet = fleet;
        this.history = history;
        this.limitMb = limitMb;
    }

    void start() {
        LoopbackServer.startDaemon(this::run, "memory");
    }

    void close() {
        closed = true;
    }

    private void run() {
        while (!closed) {
            fleet.stream().filter(dispatcher -> !dispatcher.hasKeeper()).forEach(this::check);
            LockSupport.parkNanos(INTERVAL_NS);
        }
    }

    private void check(DispatcherUnderTest dispatcher) {
        for (long pid : dispatcher.processIds()) {
            long peakMb = peakMb(pid);
            if (peakMb > limitMb && recorded.add(pid)) {
                history.add(What.PROCESS, dispatcher.name, "exceeds its memory limit of " + limitMb + " MB: " + peakMb + " MB");
            }
        }
    }

    /** Returns the largest resident size that a process has had, or 0 if it has exited. */
    private static long peakMb(long pid) {
        try {
            return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream().filter(line -> line.startsWith(PEAK_FIELD))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / KB_PER_MB).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
