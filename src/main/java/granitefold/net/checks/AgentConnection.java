package granitefold.net.checks;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/**
 * One agent check: the line goes out at once, whether or not the balancer sends a text first ({@code agent-send}), and
 * the connection ends with the balancer's close. What it sends is read and thrown away: closing on unread bytes would
 * reset the connection and might take the answer along.
 */
final class AgentConnection extends CheckConnection {
    private final byte[] line;

    AgentConnection(EndPoint endPoint, Front front, byte[] line) {
        super(endPoint, front);
        this.line = line;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        write(true, () -> { }, ByteBuffer.wrap(line));
    }

    @Override
    protected boolean step() {
        return discard();
    }
}
