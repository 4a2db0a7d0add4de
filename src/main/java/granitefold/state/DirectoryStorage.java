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

/** A folder of the file system, this process's own. Links are never followed, files are for their owner only. */
public final class DirectoryStorage implements Storage {
    private static final FileAttribute<?> PRIVATE =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    private final Path folder;
    private final FileChannel lock;

    private DirectoryStorage(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /** Opens a folder, and makes it if it is missing; one that another process holds is refused. */
    public static DirectoryStorage open(Path folder) throws IOException {
        if (!Files.exists(folder, LinkOption.NOFOLLOW_LINKS)) {
            Files.createDirectories(folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
        if (!Files.isDirectory(folder, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException(folder + " is not a folder");
        }
        String owner = Files.getOwner(folder, LinkOption.NOFOLLOW_LINKS).getName();
        if (!owner.equals(System.getProperty("user.name"))) {
            throw new IOException(folder + " belongs to " + owner);
        }
        FileChannel lock = FileChannel.open(folder.resolve("learned.lock"), Set.of(StandardOpenOption.CREATE,
                StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS), PRIVATE);
        if (lock.tryLock() == null) {
            lock.close();
            throw new IOException(folder + " is held by another process");
        }
        return new DirectoryStorage(folder, lock);
    }

    /** For reading alone, beside whoever holds the folder. */
    public static Storage readOnly(Path folder) {
        return new DirectoryStorage(folder, null);
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        Path file = folder.resolve(name);
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS);
            if (!a.isRegularFile()) {
                throw new IOException("not a file");
            }
            try (FileChannel c = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
                // of the file that was opened: another may have taken the name since
                long length = c.size();
                if (length > most) {
                    throw new IOException("longer than " + most + " bytes");
                }
                ByteBuffer bytes = ByteBuffer.allocate((int) length);
                while (bytes.hasRemaining() && c.read(bytes) >= 0) { }
                return java.util.Arrays.copyOf(bytes.array(), bytes.position());
            }
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
        try (FileChannel c = FileChannel.open(folder.resolve(name), Set.of(StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE), PRIVATE)) {
            ByteBuffer all = ByteBuffer.wrap(bytes);
            while (all.hasRemaining()) {
                c.write(all);
            }
        }
    }

    @Override
    public void force(String name) throws IOException {
        try (FileChannel c = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS)) {
            c.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel c = FileChannel.open(folder, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
        }
    }
}
