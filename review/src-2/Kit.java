import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The stand-ins of a case: discovery, cocineros, clients, and the dispatcher under review as a process of its own. */
final class Kit implements AutoCloseable {
    static final InetAddress LOOPBACK = loopback();
    /** A play that is not over by then ends its processes and exits with 2. */
    private static final long MAX_PLAY_MS = 110_000;
    private static final long START_NS = System.nanoTime();

    final Path root;
    private final PrintWriter record;
    private final List<Path> folders = Collections.synchronizedList(new ArrayList<>());
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());

    /** @param recordFile the file in the case's folder that the play is written to */
    Kit(String recordFile) throws IOException {
        Path file = Path.of(recordFile).toAbsolutePath().normalize();
        root = file.getParent().getParent().getParent();
        record = new PrintWriter(Files.newBufferedWriter(file));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        thread(() -> {
            sleep(MAX_PLAY_MS);
            note("not over after " + MAX_PLAY_MS + " ms: the case could not run");
            System.exit(2);
        });
    }

    private static InetAddress loopback() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static long ms() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NS);
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%6d ms  %s%n", ms(), text);
        record.flush();
    }

    /** Ends all processes that were started. */
    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        synchronized (folders) {
            folders.forEach(Kit::delete);
            folders.clear();
        }
    }

    private static void delete(Path folder) {
        try (var paths = Files.walk(folder)) {
            paths.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("not deleted: " + folder);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------- the dispatcher

    /** Settings as of a small deployment: the classes, tenants and figures of the example on the wire page. */
    static String settings(String classes, String limits) {
        return "{\"classes\":[" + classes + "],\"clientHabits\":{\"marksRetry\":false},\"failureDomains\":[\"sala-rosario\"],"
                + "\"familyInfo\":{\"classKind\":[-1,-1,-1],\"classPriority\":[0,1,0],\"classStretch\":[2.0,1.75,1.75],\"progressMs\":0.0,"
                + "\"queueOrder\":\"fifo\",\"tellsStart\":true},\"hostTypes\":[\"nuevo-5n\",\"viejo-6n\"],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connectTimeoutMs\":120.0,\"idleCloseMs\":15000.0,\"maxRetryAfterMs\":2000.0,"
                + "\"mostHeld\":20000,\"peers\":false,\"probing\":false,\"retryAfter\":false,\"secondCopies\":false,\"streamsPerConn\":1" + limits + "},"
                + "\"me\":0,\"membershipMode\":\"pushed\",\"overShareWorth\":0.1,\"report\":{\"names\":[],\"source\":\"off\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.31,\"coldMs\":9000.0,\"drainGraceMs\":3000.0,\"fallMs\":2000.0,"
                + "\"graceToAnswerMs\":20.0,\"tipMultiple\":3.0},\"serviceType\":\"jobs\",\"siblings\":1,\"stage\":0,"
                + "\"tenants\":[{\"fraction\":0.64,\"name\":\"cocina-de-casa\",\"quotaPerS\":39.0},{\"fraction\":0.36,\"name\":\"dulce-tarde\",\"quotaPerS\":22.0}],"
                + "\"tickMs\":5.0,\"tiers\":[\"cocineros\"],\"weights\":\"rough\",\"worthBy\":\"work\",\"zone\":0}";
    }

    static final String CLASSES = "{\"deadlineMs\":5000.0,\"dedupWindowMs\":5000.0,\"effect\":\"retryable\",\"group\":\"all\",\"lateWorth\":0.0,"
            + "\"name\":\"ficha\",\"onTimeMs\":300.0,\"points\":1.0,\"streaming\":false},"
            + "{\"deadlineMs\":12000.0,\"dedupWindowMs\":5000.0,\"effect\":\"retryable\",\"group\":\"all\",\"lateWorth\":0.0,"
            + "\"name\":\"escalar\",\"onTimeMs\":500.0,\"points\":3.0,\"streaming\":false},"
            + "{\"deadlineMs\":7500.0,\"dedupWindowMs\":12000.0,\"effect\":\"dedup\",\"group\":\"all\",\"lateWorth\":0.0,"
            + "\"name\":\"guardar-cuaderno\",\"onTimeMs\":750.0,\"points\":2.0,\"streaming\":false}";

    /** One dispatcher: its configuration, its address and its process. */
    final class Dispatcher {
        final String name;
        final int port;
        final Path config;
        final Path tmp;
        int discovery;
        int memoryMb = 192;
        int sockets = 1024;
        String known = "{\"index\":0,\"snapshot\":true,\"endpoints\":[]}";
        String settings = Kit.settings(CLASSES, "");
        Process process;
        int ops;

        Dispatcher(String name, int discovery) throws IOException {
            this.name = name;
            this.discovery = discovery;
            port = freePort();
            tmp = Files.createTempDirectory("review-" + name);
            folders.add(tmp);
            config = tmp.resolve("config.json");
        }

        void writeConfig() throws IOException {
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                    + (ops > 0 ? "\"ops\":\"127.0.0.1:" + ops + "\"," : "")
                    + "\"peers\":[],\"known\":" + known + ",\"settings\":" + settings + "}");
        }

        /** Starts the process with the deploy file's command and waits until it is ready. */
        void start() throws IOException {
            writeConfig();
            process = launch();
            awaitReady();
        }

        Process launch() throws IOException {
            return launch("");
        }

        Process launch(String before) throws IOException {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.indexOf('"', 7));
                }
            }
            Path shared = tmp.resolve("tmp");
            Files.createDirectories(shared);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", before + run).directory(root.toFile()).redirectErrorStream(true);
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + discovery);
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", shared.toString());
            Process started = builder.start();
            processes.add(started);
            long pid = started.pid();
            thread(() -> {
                try (var lines = new java.io.BufferedReader(new java.io.InputStreamReader(started.getInputStream()))) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        note("log " + name + "/" + pid + ": " + line);
                    }
                } catch (IOException e) {
                    note("log of " + name + " ended: " + e);
                }
            });
            return started;
        }

        void awaitReady() throws IOException {
            long until = ms() + 30_000;
            while (ms() < until) {
                if (!process.isAlive()) {
                    throw new IOException(name + " ended at its start with " + process.exitValue());
                }
                try (Client client = new Client(port)) {
                    client.send(ascii("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"));
                    Answer answer = client.read(2_000);
                    if (answer != null && answer.status == 200) {
                        note(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                sleep(50);
            }
            throw new IOException(name + " is not ready after 30 s");
        }

        void signal(String signal) throws IOException {
            note("SIG" + signal + " to " + name);
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    // ---------------------------------------------------------------- discovery

    /** The agent of discovery on the dispatcher's machine. */
    final class Discovery {
        private record Version(int index, String entries) { }

        final int port;
        private final ServerSocket server;
        final Map<String, String> entries = new LinkedHashMap<>();
        private final List<Version> versions = new ArrayList<>();
        private int index = 1;
        int calls;

        Discovery() throws IOException {
            server = new ServerSocket(0, 64, LOOPBACK);
            port = server.getLocalPort();
            thread(() -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        thread(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        static String entry(String name, int port, String status, long sinceMs) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"sala-rosario\",\"type\":\"nuevo-5n\",\"group\":0,\"status\":\""
                    + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }

        synchronized void set(String name, int port, String status) {
            set(name, entry(name, port, status, 0), status.equals("removed"));
        }

        /** Changes one entry and tells it to the open watches. */
        synchronized void set(String name, String entry, boolean removed) {
            index++;
            if (removed) {
                entries.remove(name);
            } else {
                entries.put(name, entry);
            }
            versions.add(new Version(index, entry));
            note("discovery: index " + index + " " + entry);
            notifyAll();
        }

        synchronized String whole() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
        }

        private void serve(Socket socket) {
            try (socket) {
                Request request = Request.read(new BufferedInputStream(socket.getInputStream()));
                if (request == null) {
                    return;
                }
                calls++;
                note("discovery: " + request.target);
                OutputStream out = socket.getOutputStream();
                if (!request.target.contains("stream=1")) {
                    byte[] body = ascii(whole());
                    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                    out.write(body);
                    return;
                }
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                int told;
                synchronized (this) {
                    told = index;
                    chunk(out, whole() + "\n");
                }
                while (true) {
                    List<Version> changes = new ArrayList<>();
                    synchronized (this) {
                        if (index == told) {
                            wait(2_000);
                        }
                        for (Version version : versions) {
                            if (version.index > told) {
                                changes.add(version);
                            }
                        }
                        told = index;
                    }
                    if (changes.isEmpty()) {
                        chunk(out, "\n");
                    }
                    for (Version version : changes) {
                        chunk(out, "{\"index\":" + version.index + ",\"snapshot\":false,\"endpoints\":[" + version.entries + "]}\n");
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the dispatcher has closed the watch
            }
        }
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(ascii(Integer.toHexString(bytes.length) + "\r\n"));
        all.write(bytes);
        all.write(ascii("\r\n"));
        out.write(all.toByteArray());
        out.flush();
    }

    // ---------------------------------------------------------------- HTTP

    /** A request as a stand-in reads it. */
    record Request(String target, Map<String, String> headers, byte[] body) {
        static Request read(InputStream in) throws IOException {
            String head = head(in);
            if (head == null) {
                return null;
            }
            String[] lines = head.split("\r\n");
            Map<String, String> headers = Kit.headers(lines);
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Request(lines[0].split(" ")[1], headers, body);
        }

        String id() {
            return headers.get("x-txn");
        }
    }

    /** A client's answer. */
    record Answer(int status, byte[] body, Map<String, String> headers) {
        String text() {
            return new String(body, StandardCharsets.UTF_8).strip();
        }
    }

    /** Returns a head up to its empty line, or null at the end of the stream before it. */
    static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("in a head");
            }
            head.write(b);
            state = b == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(String[] lines) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** A client connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 5_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Reads an answer; null at the end of the connection. Throws SocketTimeoutException if nothing has come in time. */
        Answer read(int timeoutMs) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            String head = head(in);
            if (head == null) {
                return null;
            }
            String[] lines = head.split("\r\n");
            Map<String, String> headers = Kit.headers(lines);
            int status = Integer.parseInt(lines[0].split(" ")[1]);
            if (status == 100) {
                return read(timeoutMs);
            }
            byte[] body;
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                throw new IOException("chunked answers are not read here");
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException("in a body");
                }
            } else {
                body = in.readAllBytes();
            }
            return new Answer(status, body, headers);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] job(String jobClass, String id, long remainingMs, String extra, byte[] body) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(ascii("POST /" + jobClass + "?sid=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id
                + "\r\nX-Org: cocina-de-casa\r\nX-Remaining-Ms: " + remainingMs + "\r\n" + extra + "Content-Length: " + body.length + "\r\n\r\n"));
        all.writeBytes(body);
        return all.toByteArray();
    }

    // ---------------------------------------------------------------- cocineros

    /** What a cocinero does with a request that has come whole; returns false to close the connection after it. */
    interface Behaviour {
        boolean run(Worker worker, Request request, Socket socket, OutputStream out) throws Exception;
    }

    /** A cocinero: serves each connection on a thread, one request at a time. */
    final class Worker {
        final String name;
        final int port;
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        private final ServerSocket server;
        volatile Behaviour behaviour;

        Worker(String name, Behaviour behaviour) throws IOException {
            this.name = name;
            this.behaviour = behaviour;
            server = new ServerSocket(0, 256, LOOPBACK);
            port = server.getLocalPort();
            thread(() -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        thread(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Request request = Request.read(in); request != null; request = Request.read(in)) {
                    note(name + " got " + request.id());
                    runs.merge(request.id(), 1, Integer::sum);
                    if (!behaviour.run(this, request, socket, out)) {
                        return;
                    }
                }
            } catch (Exception e) {
                note(name + ": connection ended: " + e);
            }
        }
    }

    /** Works for a while, then gives a result that names the request. */
    static Behaviour serveAfter(long workMs) {
        return (worker, request, socket, out) -> {
            out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            line(out, worker, request, "\"state\":\"started\"");
            sleep(workMs);
            line(out, worker, request, "\"state\":\"done\",\"result\":\"made-" + request.id() + "\"");
            out.write(ascii("0\r\n\r\n"));
            out.flush();
            return true;
        };
    }

    static void line(OutputStream out, Worker worker, Request request, String rest) throws IOException {
        chunk(out, "{\"id\":\"" + request.id() + "\",\"from\":\"" + worker.name + "\"," + rest + "}\n");
    }

    static boolean timedOut(IOException e) {
        return e instanceof SocketTimeoutException;
    }
}
