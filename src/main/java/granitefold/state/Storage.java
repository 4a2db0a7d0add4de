package granitefold.state;

import java.io.Closeable;
import java.io.IOException;

/**
 * The few things that a store asks of one folder, small enough that a double can do them wrong in every way that disks
 * do. Names are plain file names.
 */
public interface Storage extends Closeable {
    /** A file's bytes, or null where there is none; one longer than {@code most} is an error. */
    byte[] read(String name, int most) throws IOException;

    /** Makes a file with these bytes, in place of one of that name. It lasts only once it was forced. */
    void write(String name, byte[] bytes) throws IOException;

    /** Makes a file's bytes last. */
    void force(String name) throws IOException;

    /** Gives a file another name, in place of one that has it, at once or not at all. It lasts once the folder was forced. */
    void rename(String from, String to) throws IOException;

    /** Makes the folder's names last. */
    void forceDirectory() throws IOException;

    /** Lets go of the folder. */
    @Override
    default void close() throws IOException { }
}
