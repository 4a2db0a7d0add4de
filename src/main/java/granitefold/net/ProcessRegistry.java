package granitefold.net;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;

/**
 * Which processes serve at one address: each that serves holds the lock on a byte of a file that they share. The kernel
 * lets go of it when a process ends, however it ends, so that what a killed one left says nothing.
 */
final class ProcessRegistry {
    /** Two serve together while a new version takes over; more only where such a start was given up half way. */
    private static final int SLOTS = 8;

    /** The path that names of shared files begin with; null where there is no such folder. */
    final Path stem;
    private final FileChannel file;
    private int slot = -1;

    private ProcessRegistry(Path stem, FileChannel file) {
        this.stem = stem;
        this.file = file;
    }

    /** Those that serve at this address and share our {@code $TMPDIR}; nobody is known where there is no such folder. */
    static ProcessRegistry at(InetSocketAddress address) {
        String folder = System.getenv("TMPDIR");
        if (folder == null || folder.isEmpty()) {
            return new ProcessRegistry(null, null);
        }
        Path stem = Path.of(folder, "granitefold-" + Address.text(address).replaceAll("[^0-9A-Za-z.]", "-"));
        Path path = stem.resolveSibling(stem.getFileName() + ".serving");
        try {
            return new ProcessRegistry(stem, FileChannel.open(path,
                    Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS)));
        } catch (IOException e) {
            EventLog.log(LogEvent.OTHER_PROCESSES_UNKNOWN, path, e);
            return new ProcessRegistry(null, null);
        }
    }

    /** This process serves from now on. */
    void enter() {
        if (file != null && slot < 0) {
            for (int i = 0; i < SLOTS && slot < 0; i++) {
                slot = lock(i) == null ? -1 : i;
            }
        }
    }

    /** Whether another process serves. */
    boolean others() {
        boolean others = false;
        for (int i = 0; file != null && i < SLOTS && !others; i++) {
            if (i != slot) {
                FileLock lock = lock(i);
                others = lock == null;
                release(lock);
            }
        }
        return others;
    }

    /** The lock on a byte, or null where another process has it. */
    private FileLock lock(int at) {
        try {
            return file.tryLock(at, 1, false);
        } catch (IOException e) {
            return null;
        }
    }

    private static void release(FileLock lock) {
        try {
            if (lock != null) {
                lock.release();
            }
        } catch (IOException e) {
            // the process ends next, and the lock with it
        }
    }
}
