package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A small HTTP/1.1 server on a loopback address, with a thread for each connection. Cocineros and discovery are built on it. */
class Server implements AutoCloseable {
    final ServerSocket listener;
    final String address;

    /** One whole request. */
    record Request(String method, String target, Map<String, String> heads, String body) {
        String head(String name) {
            return heads.get(name.toLowerCase());
        }
    }

    /** Answers requests that have come whole. */
    interface Handler {
        void handle(Request request, Connection connection) throws Exception;
    }

    /** A connection on which a request has come. */
    static final class Connection {
        final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void startChunks() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void endChunks() throws IOException {
            write("0\r\n\r\n");
        }
    }

    Server(Handler handler) throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + listener.getLocalPort();
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(() -> serve(socket, handler));
            }
        });
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the other side has gone, or the play is over
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            for (Request request = read(in); request != null; request = read(in)) {
                handler.handle(request, connection);
            }
        }
    }

    private static Request read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> heads = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            heads.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
        }
        int length = Integer.parseInt(heads.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        String[] parts = start.split(" ");
        return body.length < length ? null : new Request(parts[0], parts[1], heads, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
