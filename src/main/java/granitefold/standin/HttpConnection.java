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

/** A minimal blocking HTTP/1.1 connection for test doubles, usable as client and as server. */
public final class HttpConnection implements Closeable {
    private static final int MAX_LINE_BYTES = 16 * 1024;

    public final Socket socket;
    private final InputStream in;
    public String startLine;
    public Map<String, String> headers;
    public byte[] body;
    /** Whether bytes of the current message have been read. */
    public boolean messageStarted;

    public HttpConnection(Socket socket, int timeoutMs) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public static HttpConnection open(InetSocketAddress address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, timeoutMs);
            return new HttpConnection(socket, timeoutMs);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a message with a body of Content-Length bytes; returns false at the end of the stream. */
    public boolean read() throws IOException {
        messageStarted = false;
        startLine = line();
        if (startLine == null) {
            return false;
        }
        headers = new HashMap<>();
        for (String l = line(); l == null || !l.isEmpty(); l = line()) {
            if (l == null) {
                throw new EOFException("connection closed within the headers");
            }
            int colon = l.indexOf(':');
            headers.put(l.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("connection closed within the body");
        }
        return true;
    }

    /**
     * Waits for the other side to close the connection; returns false on timeout. Bytes that arrive instead are an error of
     * the other side, since each connection carries one request at a time.
     */
    public boolean closedWithin(int timeoutMs) throws IOException {
        int previousTimeoutMs = socket.getSoTimeout();
        try {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            if (in.read() < 0) {
                return true;
            }
            throw new IOException("received bytes while waiting for the close of the connection");
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(previousTimeoutMs);
            }
        }
    }

    /** Returns whether received bytes are waiting to be read. */
    public boolean hasUnreadInput() throws IOException {
        return in.available() > 0;
    }

    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads to the end of the stream, as for an agent's reply. */
    public String readToEnd() throws IOException {
        return new String(in.readNBytes(MAX_LINE_BYTES), StandardCharsets.ISO_8859_1);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() > 0) {
                    throw new EOFException("connection closed within a line");
                }
                return null;
            }
            messageStarted = true;
            if (line.size() >= MAX_LINE_BYTES) {
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
