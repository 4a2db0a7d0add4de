package granitefold.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One end of an HTTP/1.1 connection, blocking, for stand-ins only. */
final class Exchange implements Closeable {
    private static final int LINE_MOST = 16 * 1024;

    final Socket socket;
    private final InputStream in;
    String first;
    Map<String, String> head;
    byte[] body;
    /** Bytes of the present message were read. */
    boolean begun;

    Exchange(Socket socket, int patienceMs) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(patienceMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Exchange open(InetSocketAddress to, int patienceMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(to, patienceMs);
            return new Exchange(socket, patienceMs);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a message with its body by Content-Length; false at the end. */
    boolean read() throws IOException {
        begun = false;
        first = line();
        if (first == null) {
            return false;
        }
        head = new HashMap<>();
        for (String l = line(); l == null || !l.isEmpty(); l = line()) {
            if (l == null) {
                throw new EOFException("within a head");
            }
            int colon = l.indexOf(':');
            head.put(l.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
        body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("within a body");
        }
        return true;
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    /** All that comes until the end, as an agent's line. */
    String rest() throws IOException {
        return new String(in.readNBytes(LINE_MOST), StandardCharsets.ISO_8859_1);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() > 0) {
                    throw new EOFException("within a line");
                }
                return null;
            }
            begun = true;
            if (line.size() >= LINE_MOST) {
                throw new IOException("line too long");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
