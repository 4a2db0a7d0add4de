package granitefold.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A socket whose interrupted reads are tried again. The JDK reports a read that a signal has interrupted (EINTR) as a
 * number below -1, which must not pass for the end of the stream.
 */
final class RetryingEndPoint extends SocketChannelEndPoint {
    private static final int END_OF_STREAM = -1;
    /** Where more reads in a row are interrupted, the selector tells of the bytes once more. */
    private static final int TRIES = 16;

    RetryingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        for (int tries = 0; tries < TRIES; tries++) {
            int read = super.fill(buffer);
            if (read >= END_OF_STREAM) {
                return read;
            }
        }
        return 0;
    }
}
