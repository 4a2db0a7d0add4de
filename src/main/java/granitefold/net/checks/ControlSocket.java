package granitefold.net.checks;

import granitefold.net.SocketOpener;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.PosixFilePermissions;

/**
 * The file of the control socket. It has mode 0600 from the moment that it exists under its path, and never replaces the
 * socket of a running process: the path belongs to the process that holds the lock on the file beside it. A killed process
 * holds no lock, so the socket file that it left behind is replaced.
 */
final class ControlSocket {
    private static final int BACKLOG = 16;

    final ServerSocketChannel listener;
    private final Path path;
    private final FileChannel lockFile;

    private ControlSocket(Path path, ServerSocketChannel listener, FileChannel lockFile) {
        this.path = path;
        this.listener = listener;
        this.lockFile = lockFile;
    }

    /** Opens the socket at {@code path}; throws if another process holds it or another kind of file is there. */
    static ControlSocket open(Path path) throws IOException {
        FileChannel lockFile = FileChannel.open(path.resolveSibling(path.getFileName() + ".lock"),
                java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Path directory = null;
        try {
            FileLock lock = lockFile.tryLock();
            if (lock == null) {
                throw new IOException("another process holds it");
            }
            if (Files.exists(path, LinkOption.NOFOLLOW_LINKS)
                    && !Files.readAttributes(path, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS).isOther()) {
                throw new IOException("there is a file that is no socket");
            }
            // Bound in a private directory, because other users could connect between bind and chmod.
            directory = Files.createTempDirectory(path.toAbsolutePath().getParent(), ".c",
                    PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
            Path temporaryPath = directory.resolve("s");
            ServerSocketChannel listener = SocketOpener.openWithRetry(() -> ServerSocketChannel.open(StandardProtocolFamily.UNIX));
            listener.bind(UnixDomainSocketAddress.of(temporaryPath), BACKLOG);
            listener.configureBlocking(false);
            Files.setPosixFilePermissions(temporaryPath, PosixFilePermissions.fromString("rw-------"));
            Files.move(temporaryPath, path, StandardCopyOption.ATOMIC_MOVE);
            return new ControlSocket(path, listener, lockFile);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        } finally {
            if (directory != null) {
                Files.deleteIfExists(directory.resolve("s"));
                Files.deleteIfExists(directory);
            }
        }
    }

    /** Removes the socket file at a graceful shutdown and releases the lock. */
    void close() {
        try {
            Files.deleteIfExists(path);
            lockFile.close();
        } catch (IOException e) {
            // The next start replaces the file.
        }
    }
}
