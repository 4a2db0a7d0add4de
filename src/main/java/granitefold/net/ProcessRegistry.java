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
 * Registers the processes that serve at one address: each holds a lock on one byte of a shared file. The kernel releases
 * the lock when a process ends, however it ends, so that a killed process leaves no stale entry.
 */
final class ProcessRegistry {
    /** Two processes serve at once during an upgrade; more only after an upgrade was abandoned half-way. */
    private static final int MAX_PROCESSES = 8;

    /** The common prefix of the paths of shared files; null if there is no shared folder. */
    final Path pathPrefix;
    private final FileChannel file;
    private int ownOffset = -1;

    private ProcessRegistry(Path pathPrefix, FileChannel file) {
        this.pathPrefix = pathPrefix;
        this.file = file;
    }

    /**
     * Returns the registry of the processes that serve at this address and share {@code $TMPDIR}. Without that folder the registry
     * is empty and registers nothing.
     */
    static ProcessRegistry forAddress(InetSocketAddress address) {
        String folder = System.getenv("TMPDIR");
        if (folder == null || folder.isEmpty()) {
            return new ProcessRegistry(null, null);
        }
        Path pathPrefix = Path.of(folder, "granitefold-" + Address.text(address).replaceAll("[^0-9A-Za-z.]", "-"));
        Path path = pathPrefix.resolveSibling(pathPrefix.getFileName() + ".serving");
        try {
            return new ProcessRegistry(pathPrefix, FileChannel.open(path,
                    Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS)));
        } catch (IOException e) {
            EventLog.log(LogEvent.OTHER_PROCESSES_UNKNOWN, path, e);
            return new ProcessRegistry(null, null);
        }
    }

    /** Registers this process as serving; has no effect if it is registered already. */
    void register() {
        if (file != null && ownOffset < 0) {
            for (int i = 0; i < MAX_PROCESSES && ownOffset < 0; i++) {
                ownOffset = lockByte(i) == null ? -1 : i;
            }
        }
    }

    /** Returns whether another process is registered. */
    boolean hasOthers() {
        boolean others = false;
        for (int i = 0; file != null && i < MAX_PROCESSES && !others; i++) {
            if (i != ownOffset) {
                FileLock lock = lockByte(i);
                others = lock == null;
                release(lock);
            }
        }
        return others;
    }

    /** Locks one byte; returns null if another process holds its lock or the file cannot be locked. */
    private FileLock lockByte(int offset) {
        try {
            return file.tryLock(offset, 1, false);
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
            // the lock is released at the latest when this process ends
        }
    }
}
