package granitefold.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that retries interrupted reads. The JDK reports a read that a signal has interrupted (EINTR) as a number
 * below -1, which must not be taken for the end of the stream.
 */
final class RetryingEndPoint extends SocketChannelEndPoint {
    private static final int END_OF_STREAM = -1;
    /** After this many interrupted reads in a row, the selector reports the socket as readable once more. */
    private static final int MAX_ATTEMPTS = 16;

    RetryingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int count = super.fill(buffer);
            if (count >= END_OF_STREAM) {
                return count;
            }
        }
        return 0;
    }
}
