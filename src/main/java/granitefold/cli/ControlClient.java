package granitefold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Asks a dispatcher over its control socket: a line, an answer, a connection. */
final class ControlClient {
    private static final int ANSWER_MOST = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path socket;

    ControlClient(Path socket) {
        this.socket = socket;
    }

    JsonNode ask(String command) throws IOException {
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            channel.connect(UnixDomainSocketAddress.of(socket));
            channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.write(Channels.newInputStream(channel).readNBytes(ANSWER_MOST));
            if (answer.size() == 0) {
                throw new IOException(socket + ": no answer");
            }
            return JSON.readTree(answer.toByteArray());
        } catch (IOException e) {
            throw new IOException(socket + ": " + e.getMessage(), e);
        }
    }
}
