package granitefold.real;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One end of a connection, and the message read last on it. */
final class Exchange implements Closeable {
    final Socket socket;
    final InputStream input;
    String firstLine;
    Map<String, String> headers;
    String body;

    Exchange(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(RealProgram.TIMEOUT_S * 1000);
        socket.setTcpNoDelay(true);
        input = socket.getInputStream();
    }

    Exchange write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** All that comes until the end. */
    String readToEnd() throws IOException {
        return new String(input.readAllBytes(), StandardCharsets.UTF_8);
    }

    /** The same where the other side may have reset the connection. */
    String readToEndOrReset() throws IOException {
        try {
            return readToEnd();
        } catch (java.net.SocketException e) {
            return "";
        }
    }

    /** The status of the message read last. */
    int lastStatus() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads a message with its body by Content-Length; returns its first line, null at the end. */
    String read() throws IOException {
        firstLine = readLine();
        headers = new HashMap<>();
        for (String l = firstLine == null ? "" : readLine(); !l.isEmpty(); l = readLine()) {
            headers.put(l.substring(0, l.indexOf(':')).toLowerCase(Locale.ROOT), l.substring(l.indexOf(':') + 1).trim());
        }
        body = new String(input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))),
                StandardCharsets.UTF_8);
        return firstLine;
    }

    int readStatus() throws IOException {
        return Integer.parseInt(read().split(" ")[1]);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = input.read(); b != '\n'; b = input.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Whether the other side has closed, once nothing more comes. */
    boolean awaitClose() throws IOException {
        try {
            return input.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    /** Begins a worker's answer and tells these states of the job. */
    Exchange startAnswer(String... states) throws IOException {
        return write(answerText(states));
    }

    /** An answer and its end in one write: who reads the one has read the other. */
    void answerAndEnd(String... states) throws IOException {
        write(answerText(states) + "0\r\n\r\n");
    }

    private String answerText(String... states) {
        StringBuilder b = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String s : states) {
            b.append(chunk("{\"id\":\"" + headers.get("x-txn") + "\",\"from\":\"p\",\"state\":\"" + s + "\""
                    + (s.equals("done") ? ",\"result\":\"made " + body + "\"}" : "}")));
        }
        return b.toString();
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    Exchange writeLines(String... lines) throws IOException {
        for (String l : lines) {
            write(chunk(l));
        }
        return this;
    }

    /** Ends a chunked answer. */
    void endAnswer() throws IOException {
        write("0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
