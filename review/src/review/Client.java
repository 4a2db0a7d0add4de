package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A client's connection: sends one request at a time and reads its answer. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    /** An answer; `body` is its whole body. */
    record Answer(int status, String body, boolean close) { }

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Waits for the 100 (Continue) that was asked for; returns false if something else comes, which is then the answer. */
    boolean awaitContinue(double seconds) throws IOException {
        socket.setSoTimeout((int) (seconds * 1000));
        in.mark(64);
        if (line().startsWith("HTTP/1.1 100")) {
            line();
            return true;
        }
        in.reset();
        return false;
    }

    /** A job as the protocol page has it. */
    static String job(String target, String txn, String tenant, long remainingMs, String extraHeads, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + txn + "\r\nX-Org: " + tenant + "\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n" + extraHeads + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Reads one whole answer; throws EOFException if the connection ends before its end. */
    Answer receive(double seconds) throws IOException {
        socket.setSoTimeout((int) (seconds * 1000));
        String statusLine = line();
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        int length = -1;
        boolean close = false;
        boolean chunked = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            close |= lower.startsWith("connection:") && lower.contains("close");
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
            for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                body.write(exactly(size));
                line();
            }
            line();
        } else if (length >= 0) {
            body.write(exactly(length));
        } else {
            body.write(in.readAllBytes());
        }
        return new Answer(status, body.toString(StandardCharsets.ISO_8859_1), close);
    }

    private byte[] exactly(int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within an answer");
        }
        return bytes;
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended without a whole answer");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
