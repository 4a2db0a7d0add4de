package granitefold.cli.rollout;

import granitefold.rollout.Order;
import granitefold.rollout.Version;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A controller's way to one keeper. */
final class KeeperLink {
    private static final int CONNECT_MS = 1000, ANSWER_MS = 2500;

    private final InetSocketAddress address;

    KeeperLink(InetSocketAddress address) {
        this.address = address;
    }

    KeeperWords.Answer status() throws IOException {
        return call(new KeeperWords.Call(KeeperWords.VERSION, "status", null, null));
    }

    KeeperWords.Answer order(Order order, Version version) throws IOException {
        return call(new KeeperWords.Call(KeeperWords.VERSION, "order", order, version));
    }

    private KeeperWords.Answer call(KeeperWords.Call call) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(address, CONNECT_MS);
            s.setSoTimeout(ANSWER_MS);
            s.getOutputStream().write((CheckedFile.JSON.writeValueAsString(call) + "\n").getBytes(StandardCharsets.UTF_8));
            BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
            String line = in.readLine();
            if (line == null || line.length() > KeeperWords.LINE_MOST) {
                throw new IOException("no answer");
            }
            return CheckedFile.JSON.readValue(line, KeeperWords.Answer.class);
        }
    }
}
