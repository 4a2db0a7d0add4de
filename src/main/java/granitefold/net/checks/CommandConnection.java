package granitefold.net.checks;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;

/** A connection for one command: reads a line, writes the answer as a line and closes. */
final class CommandConnection extends CheckConnection {
    private static final int MAX_LINE_CHARS = 64;

    private final BiConsumer<String, Consumer<byte[]>> commands;
    private final StringBuilder line = new StringBuilder();
    private boolean commandRead;

    /** {@code commands} receives a line and a callback for the answer, which must be called on this thread, possibly later. */
    CommandConnection(EndPoint endPoint, CheckListener checkListener, BiConsumer<String, Consumer<byte[]>> commands) {
        super(endPoint, checkListener);
        this.commands = commands;
    }

    @Override
    protected boolean processInput() {
        if (commandRead) {
            return discard();
        }
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (c == '\n' || line.length() >= MAX_LINE_CHARS) {
                commandRead = true;
                commands.accept(c == '\n' ? line.toString().strip() : "", this::answer);
                return true;
            }
            line.append(c);
        }
        return false;
    }

    private void answer(byte[] json) {
        if (getEndPoint().isOpen()) {
            write(true, () -> { }, ByteBuffer.wrap(json), ByteBuffer.wrap("\n".getBytes(StandardCharsets.US_ASCII)));
        }
    }
}
