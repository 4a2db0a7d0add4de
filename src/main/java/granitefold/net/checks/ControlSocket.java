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
 * The control socket's file: mode 0600 from its first moment under its name, and never a live process's. Who holds the
 * lock on the file beside it owns the name; a killed process holds no lock, so what it left is replaced.
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

    static ControlSocket open(Path path) throws IOException {
        FileChannel lockFile = FileChannel.open(path.resolveSibling(path.getFileName() + ".lock"),
                java.util.Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Path folder = null;
        try {
            FileLock lock = lockFile.tryLock();
            if (lock == null) {
                throw new IOException("another process holds it");
            }
            if (Files.exists(path, LinkOption.NOFOLLOW_LINKS)
                    && !Files.readAttributes(path, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS).isOther()) {
                throw new IOException("there is a file that is no socket");
            }
            // bound inside a folder that nobody else may enter: between bind and chmod it would be open to others
            folder = Files.createTempDirectory(path.toAbsolutePath().getParent(), ".c",
                    PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
            Path inside = folder.resolve("s");
            ServerSocketChannel listener = SocketOpener.openWithRetry(() -> ServerSocketChannel.open(StandardProtocolFamily.UNIX));
            listener.bind(UnixDomainSocketAddress.of(inside), BACKLOG);
            listener.configureBlocking(false);
            Files.setPosixFilePermissions(inside, PosixFilePermissions.fromString("rw-------"));
            Files.move(inside, path, StandardCopyOption.ATOMIC_MOVE);
            return new ControlSocket(path, listener, lockFile);
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        } finally {
            if (folder != null) {
                Files.deleteIfExists(folder.resolve("s"));
                Files.deleteIfExists(folder);
            }
        }
    }

    /** Takes the name away again, at a planned end; the lock goes with the process. */
    void end() {
        try {
            Files.deleteIfExists(path);
            lockFile.close();
        } catch (IOException e) {
            // the next start replaces it
        }
    }
}
