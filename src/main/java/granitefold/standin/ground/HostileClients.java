package granitefold.standin.ground;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntFunction;

/** Clients that stop half way through a request, that read no answers, or that send requests without a pause. None of them is owed a result. */
final class HostileClients {
    private static final int CONNECT_TIMEOUT_MS = 200, WRITE_BUFFER_BYTES = 64 * 1024, MAX_BODY_BYTES = 64 * 1024;
    private static final int NUMBERS_PER_CLIENT = 10_000_000;
    private static final String HEAD = "POST /ficha?sid=%1$x HTTP/1.1\r\nHost: x\r\nX-Txn: hostile-%1$d\r\nX-Org: acme\r\n";
    private static final String SHORT_FIELDS = "a:b\r\n".repeat(1_400);

    /** What a client sends before it falls silent, by the number of the request. */
    private static final List<IntFunction<String>> HALF_REQUESTS = List.of(
            number -> head(number) + SHORT_FIELDS,
            number -> head(number) + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n" + "x".repeat(MAX_BODY_BYTES / 2),
            number -> head(number) + "X-Long: " + "y".repeat(6_000) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(8_000),
            number -> head(number) + "Content-Length: 5\r\nX-Remaining-Ms: 1\r\n\r\nhello" + head(number + 1));

    /** What a client sends over and over: each request is answered at once, and the next one follows under other names. */
    private static final List<IntFunction<String>> FLOOD_REQUESTS = List.of(
            number -> head(number) + "X-Remaining-Ms: 0\r\nContent-Length: 0\r\n\r\n",
            number -> head(number) + "X-Remaining-Ms: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(5_000) + "0\r\n\r\n",
            number -> "GET /healthz HTTP/1.1\r\nHost: x\r\nName-" + number + ": a\r\nUser-Agent: b" + number + "\r\n\r\n",
            number -> head(number) + "X-Remaining-Ms: soon\r\nContent-Length: 0\r\n\r\n");

    private final Map<DispatcherUnderTest, List<Socket>> open = new ConcurrentHashMap<>();

    private static String head(int number) {
        return String.format(HEAD, number);
    }

    /** Opens connections that each send part of a request and stay. */
    void stopHalfWay(DispatcherUnderTest dispatcher, int clients, int form) {
        IntFunction<String> request = HALF_REQUESTS.get(form % HALF_REQUESTS.size());
        for (int i = 0; i < clients; i++) {
            try {
                Socket client = connect(dispatcher);
                client.getOutputStream().write(request.apply(i).getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // refused, or closed as its error was written: the others go on
            }
        }
    }

    /** Each client sends requests without a pause, on one connection at a time, until {@link #leave}. */
    void flood(DispatcherUnderTest dispatcher, int clients, int form) {
        List<Socket> connections = open.computeIfAbsent(dispatcher, d -> new CopyOnWriteArrayList<>());
        IntFunction<String> request = FLOOD_REQUESTS.get(form % FLOOD_REQUESTS.size());
        for (int i = 0; i < clients; i++) {
            int firstNumber = i * NUMBERS_PER_CLIENT;
            startDaemon(() -> {
                for (int number = firstNumber; open.get(dispatcher) == connections; ) {
                    number = floodConnection(dispatcher, request, number);
                }
            });
        }
    }

    /** Sends until the connection ends; returns the number of the next request. */
    private int floodConnection(DispatcherUnderTest dispatcher, IntFunction<String> request, int firstNumber) {
        int number = firstNumber;
        try (Socket client = connect(dispatcher)) {
            startDaemon(() -> readAll(client));
            while (open.containsKey(dispatcher)) {
                StringBuilder requests = new StringBuilder();
                while (requests.length() < WRITE_BUFFER_BYTES) {
                    requests.append(request.apply(number++));
                }
                client.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            pause();
        }
        return number;
    }

    /** Before the next attempt to connect: the dispatcher may be down. */
    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readAll(Socket client) {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // the connection has ended
        }
    }

    private Socket connect(DispatcherUnderTest dispatcher) throws IOException {
        Socket client = new Socket();
        client.connect(dispatcher.listenAddress, CONNECT_TIMEOUT_MS);
        List<Socket> connections = open.computeIfAbsent(dispatcher, d -> new CopyOnWriteArrayList<>());
        connections.removeIf(Socket::isClosed);
        connections.add(client);
        return client;
    }

    /** Closes all connections to a dispatcher. */
    void leave(DispatcherUnderTest dispatcher) throws IOException {
        List<Socket> connections = open.remove(dispatcher);
        for (Socket client : connections == null ? List.<Socket>of() : connections) {
            try {
                client.close();
            } catch (SocketException e) {
                // it has ended already
            }
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "hostile client");
        thread.setDaemon(true);
        thread.start();
    }
}
