package granitefold.net.checks;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/**
 * One agent check: the line is sent at once, whether or not the balancer sends a text first ({@code agent-send}), and
 * the balancer closes the connection. Data from the balancer is read and discarded, because closing a socket with unread
 * data resets the connection, and the answer might be lost.
 */
final class AgentConnection extends CheckConnection {
    private final byte[] line;

    AgentConnection(EndPoint endPoint, CheckListener checkListener, byte[] line) {
        super(endPoint, checkListener);
        this.line = line;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        write(true, () -> { }, ByteBuffer.wrap(line));
    }

    @Override
    protected boolean processInput() {
        return discard();
    }
}
