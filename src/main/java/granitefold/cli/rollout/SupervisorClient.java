package granitefold.cli.rollout;

import granitefold.rollout.Order;
import granitefold.rollout.Version;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client of one supervisor. */
final class SupervisorClient {
    private static final int CONNECT_MS = 1000, ANSWER_MS = 2500;

    private final InetSocketAddress address;

    SupervisorClient(InetSocketAddress address) {
        this.address = address;
    }

    SupervisorProtocol.Response status() throws IOException {
        return call(new SupervisorProtocol.Request(SupervisorProtocol.PROTOCOL_VERSION, "status", null, null));
    }

    SupervisorProtocol.Response order(Order order, Version version) throws IOException {
        return call(new SupervisorProtocol.Request(SupervisorProtocol.PROTOCOL_VERSION, "order", order, version));
    }

    private SupervisorProtocol.Response call(SupervisorProtocol.Request call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MS);
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream().write((ChecksummedFile.JSON.writeValueAsString(call) + "\n").getBytes(StandardCharsets.UTF_8));
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String line = in.readLine();
            if (line == null || line.length() > SupervisorProtocol.MAX_LINE_CHARS) {
                throw new IOException("no response");
            }
            return ChecksummedFile.JSON.readValue(line, SupervisorProtocol.Response.class);
        }
    }
}
