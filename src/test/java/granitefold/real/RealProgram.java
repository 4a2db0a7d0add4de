package granitefold.real;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The real program, started by the deploy file's {@code run}, with discovery, workers and clients played by the test
 * over loopback. Nothing sleeps: whoever waits, waits for the other side's word, at most {@link #PATIENCE_S}.
 */
final class RealProgram implements Closeable {
    static final int TIMEOUT_S = 30;
    /** In the environment of a start: a jar to run instead of the deploy file's command. */
    static final String JAR_VARIABLE = "GRANITEFOLD_TEST_JAR";
    private static final InetAddress HOST = InetAddress.getLoopbackAddress();

    final List<String> log = new ArrayList<>();
    final Process process;
    private final Map<String, String> config = new HashMap<>();
    private final Path configurationFile = Files.createTempFile("config", ".json");
    private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>();
    private ServerSocket discovery = listen();
    private final List<Closeable> opened = new ArrayList<>();
    private InetSocketAddress address;

    /** The operator's file, where there is one. */
    final Path operatorFile;

    /** Starts with these workers known; the fields replace or join those of the configuration. */
    RealProgram(Map<String, String> fields, Worker... workers) throws IOException {
        this(null, fields, workers);
    }

    /** The same with an operator's file of this text. */
    RealProgram(String operatorText, Map<String, String> fields, Worker... workers) throws IOException {
        this(operatorText, Map.of(), fields, workers);
    }

    /** The same with these variables in its environment. */
    RealProgram(String operatorText, Map<String, String> environment, Map<String, String> fields, Worker... workers) throws IOException {
        config.put("name", "\"n0\"");
        config.put("listen", "\"" + hostAndPort(HOST, 0) + "\"");
        config.put("discovery", "\"" + hostAndPort(HOST, discovery.getLocalPort()) + "\"");
        config.put("seed", "\"8c1f30d27a5be964\"");
        config.put("limits", "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}");
        config.put("known", list(1, true, workers));
        config.put("settings", settings("\"attemptsCap\":4,\"connectTimeoutMs\":5000,\"idleCloseMs\":60000"));
        config.putAll(fields);
        Files.writeString(configurationFile, json());
        operatorFile = operatorText == null ? null : Files.createTempFile("operator", ".conf");
        if (operatorFile != null) {
            Files.writeString(operatorFile, operatorText);
            operatorFile.toFile().deleteOnExit();
        }
        process = launch(configurationFile, operatorFile, environment);
        Thread reader = new Thread(() -> process.inputReader().lines().forEach(unreadLines::add));
        reader.setDaemon(true);
        reader.start();
    }

    private String json() {
        StringBuilder json = new StringBuilder();
        config.forEach((k, v) -> json.append(json.isEmpty() ? "{" : ",").append('"').append(k).append("\":").append(v));
        return json + "}";
    }

    /** Moves discovery to another address, and names it in the configuration. */
    void moveDiscovery() throws IOException {
        discovery.close();
        discovery = listen();
        config.put("discovery", "\"" + hostAndPort(HOST, discovery.getLocalPort()) + "\"");
        Files.writeString(configurationFile, json());
    }

    void breakConfiguration() throws IOException {
        Files.writeString(configurationFile, json().substring(1));
    }

    void signal(String name) throws IOException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).inheritIO().start();
    }

    /** Starts the program on a configuration as it is. */
    static Process launchWithConfiguration(String config) throws IOException {
        Path configurationFile = Files.createTempFile("config", ".json");
        Files.writeString(configurationFile, config);
        return launch(configurationFile, null, Map.of());
    }

    private static Process launch(Path configurationFile, Path operatorFile, Map<String, String> environment) throws IOException {
        configurationFile.toFile().deleteOnExit();
        String command = environment.containsKey(JAR_VARIABLE) ? "exec java -jar " + environment.get(JAR_VARIABLE) + " serve" : runCommand();
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", command + (operatorFile == null ? "" : " --operator " + operatorFile))
                .redirectErrorStream(true);
        b.environment().put("LB_CONFIG", configurationFile.toString());
        b.environment().putAll(environment);
        return b.start();
    }

    /** The deploy file's command. */
    static String runCommand() throws IOException {
        String command = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run"))
                .findFirst().orElseThrow();
        return command.substring(command.indexOf('"') + 1, command.lastIndexOf('"'));
    }

    static String settings(String limits) {
        return Samples.settings(limits);
    }

    static String list(long index, boolean whole, Worker... workers) {
        StringBuilder b = new StringBuilder("{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[");
        for (Worker p : workers) {
            b.append(b.charAt(b.length() - 1) == '[' ? "" : ",").append("{\"name\":\"").append(p.name)
                    .append("\",\"address\":\"").append(hostAndPort(HOST, p.server.getLocalPort())).append("\",\"status\":\"")
                    .append(p.status).append("\",\"weight\":1.0,\"since_ms\":0,\"zone\":\"a\",\"type\":\"m\"}");
        }
        return b + "]}";
    }

    private static String hostAndPort(InetAddress host, int port) {
        return host.getHostAddress() + ":" + port;
    }

    private static ServerSocket listen() throws IOException {
        ServerSocket s = new ServerSocket(0, 50, HOST);
        s.setSoTimeout(TIMEOUT_S * 1000);
        return s;
    }

    /** Waits for a line of the log that holds a text. */
    String awaitLog(String part) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        for (String line = unreadLines.poll(TIMEOUT_S, TimeUnit.SECONDS); line != null;
                line = unreadLines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS)) {
            log.add(line);
            if (line.contains(part)) {
                return line;
            }
        }
        throw new AssertionError("no '" + part + "' in the log:\n" + String.join("\n", log));
    }

    /** The same for a line that may have come already. */
    String hasLogged(String part) throws InterruptedException {
        for (String line : log) {
            if (line.contains(part)) {
                return line;
            }
        }
        return awaitLog(part);
    }

    /** Takes in what the log has by now. */
    void drainLog() {
        unreadLines.drainTo(log);
    }

    /** Accepts the next watch on discovery and answers with these lines. */
    Exchange acceptWatch(String... list) throws IOException {
        Exchange e = closeAtEnd(new Exchange(discovery.accept()));
        e.read();
        e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        e.writeLines(list);
        return e;
    }

    /** Accepts the first watch, tells that nothing changed, and waits until the program serves. */
    Exchange awaitServing() throws IOException, InterruptedException {
        address = addressIn(" listening on ");
        Exchange watch = acceptWatch(list(1, false));
        awaitLog("phase: SERVING");
        return watch;
    }

    /** The address at the end of a line of the log that holds a text. */
    InetSocketAddress addressIn(String part) throws InterruptedException {
        String line = awaitLog(part);
        return new InetSocketAddress(HOST, Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim()));
    }

    /** A new connection to an address, from one of loopback's own where it is named. */
    Exchange connect(InetSocketAddress to, String from) throws IOException {
        Socket s = new Socket();
        if (from != null) {
            s.bind(new InetSocketAddress(from, 0));
        }
        s.connect(to, TIMEOUT_S * 1000);
        return closeAtEnd(new Exchange(s));
    }

    /** A new client connection. */
    Exchange client() throws IOException {
        return connect(address, null);
    }

    private Exchange closeAtEnd(Exchange e) {
        opened.add(e);
        return e;
    }

    static String request(String target, String txn, String more, String body) {
        return "POST " + target + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + txn + "\r\nX-Org: acme\r\n" + more
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        for (Closeable c : opened) {
            c.close();
        }
        discovery.close();
    }

    /** A worker that does what the test says. */
    static final class Worker implements Closeable {
        final String name;
        final ServerSocket server = listen();
        String status = "up";

        Worker(String name) throws IOException {
            this.name = name;
        }

        /** From now on takes every connection; each request is answered at once, with {@code states} of a job. */
        void serve(String... states) {
            startDaemon(() -> {
                while (true) {
                    Exchange e = new Exchange(server.accept());
                    startDaemon(() -> {
                        while (e.read() != null) {
                            if (states.length == 0) {
                                e.close();
                            } else if (e.firstLine.startsWith("GET ")) {
                                e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                            } else {
                                e.startAnswer(states).endAnswer();
                            }
                        }
                    });
                }
            });
        }

        private interface IoTask {
            void run() throws IOException;
        }

        private static void startDaemon(IoTask task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (IOException e) {
                    // the test is over, or the program has gone
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        /** The next connection, with the request that it brings. */
        Exchange accept() throws IOException {
            Exchange e = new Exchange(server.accept());
            e.read();
            return e;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
