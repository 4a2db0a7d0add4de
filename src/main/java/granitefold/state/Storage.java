package granitefold.state;

import java.io.Closeable;
import java.io.IOException;

/**
 * The operations that a store needs on one directory, few enough that a test double can fail in every way that disks do.
 * Names are plain file names.
 */
public interface Storage extends Closeable {
    /** Returns a file's bytes, or null if it does not exist; a file longer than {@code maxBytes} is an error. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates or replaces a file. It is durable only after {@link #force}. */
    void write(String name, byte[] bytes) throws IOException;

    /** Makes a file's content durable. */
    void force(String name) throws IOException;

    /** Renames a file atomically, replacing an existing one. It is durable only after {@link #forceDirectory}. */
    void rename(String from, String to) throws IOException;

    /** Makes the names in the directory durable. */
    void forceDirectory() throws IOException;

    /** Releases the directory. */
    @Override
    default void close() throws IOException { }
}
