package granitefold.state;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/** A directory of the file system that only this process uses. Symbolic links are never followed, and files are accessible to their owner only. */
public final class DirectoryStorage implements Storage {
    private static final FileAttribute<?> OWNER_ONLY =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    private final Path directory;
    private final FileChannel lock;

    private DirectoryStorage(Path directory, FileChannel lock) {
        this.directory = directory;
        this.lock = lock;
    }

    /** Opens a directory and creates it if it is missing; fails if another process holds it. */
    public static DirectoryStorage open(Path directory) throws IOException {
        if (!Files.exists(directory, LinkOption.NOFOLLOW_LINKS)) {
            Files.createDirectories(directory, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
        if (!Files.isDirectory(directory, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException(directory + " is not a directory");
        }
        String owner = Files.getOwner(directory, LinkOption.NOFOLLOW_LINKS).getName();
        if (!owner.equals(System.getProperty("user.name"))) {
            throw new IOException(directory + " belongs to " + owner);
        }
        FileChannel lock = FileChannel.open(directory.resolve("learned.lock"), Set.of(StandardOpenOption.CREATE,
                StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS), OWNER_ONLY);
        if (lock.tryLock() == null) {
            lock.close();
            throw new IOException(directory + " is held by another process");
        }
        return new DirectoryStorage(directory, lock);
    }

    /** Opens a directory for reading only, even while another process holds it. */
    public static Storage readOnly(Path directory) {
        return new DirectoryStorage(directory, null);
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        Path file = directory.resolve(name);
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS);
            if (!attributes.isRegularFile()) {
                throw new IOException("not a file");
            }
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
                // The length of the opened file, because another file may have taken its name in the meantime.
                long length = channel.size();
                if (length > maxBytes) {
                    throw new IOException("longer than " + maxBytes + " bytes");
                }
                ByteBuffer bytes = ByteBuffer.allocate((int) length);
                while (bytes.hasRemaining() && channel.read(bytes) >= 0) { }
                return java.util.Arrays.copyOf(bytes.array(), bytes.position());
            }
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
        try (FileChannel channel = FileChannel.open(directory.resolve(name), Set.of(StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE), OWNER_ONLY)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
        }
    }

    @Override
    public void force(String name) throws IOException {
        try (FileChannel channel = FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
        }
    }
}
