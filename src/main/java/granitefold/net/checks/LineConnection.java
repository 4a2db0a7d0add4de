package granitefold.net.checks;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;

/** One command, a line, and its answer, a line; then it ends. */
final class LineConnection extends CheckConnection {
    private static final int LINE_MOST = 64;

    private final BiConsumer<String, Consumer<byte[]>> commands;
    private final StringBuilder line = new StringBuilder();
    private boolean asked;

    /** {@code commands} takes a line and, later and on this thread, gives back the answer. */
    LineConnection(EndPoint endPoint, Front front, BiConsumer<String, Consumer<byte[]>> commands) {
        super(endPoint, front);
        this.commands = commands;
    }

    @Override
    protected boolean step() {
        if (asked) {
            return discard();
        }
        while (in.hasRemaining()) {
            char c = (char) (in.get() & 0xff);
            if (c == '\n' || line.length() >= LINE_MOST) {
                asked = true;
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
