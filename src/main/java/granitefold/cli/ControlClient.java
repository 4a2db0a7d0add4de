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

/** Client of a dispatcher's control socket: one connection for each command and its response. */
final class ControlClient {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path socket;

    ControlClient(Path socket) {
        this.socket = socket;
    }

    JsonNode send(String command) throws IOException {
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            channel.connect(UnixDomainSocketAddress.of(socket));
            channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.US_ASCII)));
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.write(Channels.newInputStream(channel).readNBytes(MAX_RESPONSE_BYTES));
            if (response.size() == 0) {
                throw new IOException(socket + ": no response");
            }
            return JSON.readTree(response.toByteArray());
        } catch (IOException e) {
            throw new IOException(socket + ": " + e.getMessage(), e);
        }
    }
}
