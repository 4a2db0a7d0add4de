package granitefold.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One end of an HTTP/1.1 connection, blocking, for stand-ins only. */
public final class HttpConnection implements Closeable {
    private static final int LINE_MOST = 16 * 1024;

    public final Socket socket;
    private final InputStream in;
    public String startLine;
    public Map<String, String> headers;
    public byte[] body;
    /** Bytes of the present message were read. */
    public boolean messageStarted;

    public HttpConnection(Socket socket, int patienceMs) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(patienceMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public static HttpConnection open(InetSocketAddress to, int patienceMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(to, patienceMs);
            return new HttpConnection(socket, patienceMs);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a message with its body by Content-Length; false at the end. */
    public boolean read() throws IOException {
        messageStarted = false;
        startLine = line();
        if (startLine == null) {
            return false;
        }
        headers = new HashMap<>();
        for (String l = line(); l == null || !l.isEmpty(); l = line()) {
            if (l == null) {
                throw new EOFException("within a head");
            }
            int colon = l.indexOf(':');
            headers.put(l.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("within a body");
        }
        return true;
    }

    /**
     * Waits so long for the other side to close; true if it has. Bytes that come instead are a mistake of its own: each
     * connection carries one request at a time.
     */
    public boolean closedWithin(int ms) throws IOException {
        int before = socket.getSoTimeout();
        try {
            socket.setSoTimeout(Math.max(1, ms));
            if (in.read() < 0) {
                return true;
            }
            throw new IOException("more than one request at a time");
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(before);
            }
        }
    }

    /** Whether more has come than was read. */
    public boolean hasUnreadInput() throws IOException {
        return in.available() > 0;
    }

    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** All that comes until the end, as an agent's line. */
    public String readToEnd() throws IOException {
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
            messageStarted = true;
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
