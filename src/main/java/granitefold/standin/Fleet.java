package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small fleet on loopback: stand-in workers and discovery, and real dispatchers as processes of the built jar. */
public final class Fleet implements Closeable {
    private static final long TIMEOUT_S = 30;

    public final List<StubWorker> workers = new ArrayList<>();
    public final StubDiscovery discovery;
    public final List<Dispatcher> dispatchers = new ArrayList<>();
    final Path folder;

    /** A real dispatcher as a process. */
    public final class Dispatcher implements Closeable {
        public final String name;
        private final String operator;
        private final String known;
        private Process process;
        private final List<Process> processes = new ArrayList<>();
        private Path log;
        private int incarnations;
        /** Kept across restarts, so that clients and checks find the dispatcher again. */
        private int port;
        /** Holds the port where several processes listen on it in turn; null where it has none. */
        private ReservedPort reservedPort;
        private int agentPort;
        private int httpPort;
        /** Port of the ops address of the current process; 0 where it has none. */
        private int opsPort;

        private Dispatcher(String name, String operator, String known) {
            this.name = name;
            this.operator = operator;
            this.known = known;
        }

        /** Starts the dispatcher, or restarts it with the same addresses. */
        public void start() throws IOException, InterruptedException {
            Path file = folder.resolve(name + ".conf");
            Files.writeString(file, "checks.agent.listen = \"127.0.0.1:" + agentPort + "\"\nchecks.http.listen = \"127.0.0.1:"
                    + httpPort + "\"\ncontrol.socket = \"" + socket() + "\"\n" + operator);
            launch("", "--operator", file.toString());
            agentPort = portIn("checks: agent on ");
            httpPort = portIn("checks: http on ");
            port = portIn("listening on ");
        }

        /**
         * Starts a process with an ops address, alongside the one that is running, as for an upgrade. Returns the previous
         * process, or null for the first one.
         */
        public Process startAlongside() throws IOException, InterruptedException {
            Process previous = process;
            if (port == 0) {
                // both processes must be configured with the same address
                reservedPort = new ReservedPort(InetAddress.getLoopbackAddress());
                port = reservedPort.port();
            }
            launch("\"ops\":\"127.0.0.1:0\",");
            opsPort = portIn("checks: ops on ");
            return previous;
        }

        private void launch(String fields, String... arguments) throws IOException {
            Path config = folder.resolve(name + "-" + incarnations + ".json");
            log = folder.resolve(name + "-" + incarnations++ + ".log");
            Files.writeString(config, config().replaceFirst("\\{", "{" + fields));
            List<String> commandLine = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k",
                    "-jar", Path.of("target/granitefold.jar").toString(), "serve", "--config", config.toString()));
            commandLine.addAll(List.of(arguments));
            ProcessBuilder builder = new ProcessBuilder(commandLine).redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            process.onExit();
            processes.add(process);
        }

        /** Sends a command to the ops address and returns the lines of the reply. */
        public List<String> callOps(String command) throws IOException {
            try (HttpConnection connection = HttpConnection.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), opsPort),
                    (int) TimeUnit.SECONDS.toMillis(TIMEOUT_S))) {
                connection.write(command + "\n");
                return connection.readToEnd().lines().toList();
            }
        }

        /** Waits until the current process reports at its ops address that it can serve. */
        public void awaitReady() throws IOException, InterruptedException {
            long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (!callOps("check").get(0).startsWith("ACK")) {
                if (System.nanoTime() - deadlineNs > 0) {
                    throw new IllegalStateException(name + " does not become ready:\n" + Files.readString(log));
                }
                Thread.sleep(5);
            }
        }

        /** Returns the address for clients. */
        public InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        }

        /** Returns the ops address. */
        public InetSocketAddress opsAddress() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), opsPort);
        }

        private String config() {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                    + "\"peers\":[],\"known\":" + known + ",\"settings\":{\"classes\":[{\"name\":\"ficha\",\"effect\":"
                    + "\"retryable\",\"onTimeMs\":300,\"deadlineMs\":5000,\"points\":1}],\"tenants\":[{\"name\":\"acme\","
                    + "\"fraction\":1,\"quotaPerS\":5000}],\"failureDomains\":[\"sala\"],\"hostTypes\":[\"m\"],\"familyInfo\":"
                    + "{\"tellsStart\":true,\"classStretch\":[2]},\"me\":0,\"siblings\":1,\"tickMs\":5,\"rules\":{"
                    + "\"drainGraceMs\":3000,\"graceToAnswerMs\":20,\"coldFrom\":0.3,\"coldMs\":9000,\"tipMultiple\":3,"
                    + "\"fallMs\":2000},\"limits\":{\"attemptsCap\":4,\"connectTimeoutMs\":500,\"idleCloseMs\":60000,"
                    + "\"cancelling\":true,\"maxRetryAfterMs\":2000,\"probing\":true}}}";
        }

        private int portIn(String line) throws IOException, InterruptedException {
            String logLine = awaitLog(line);
            return Integer.parseInt(logLine.substring(logLine.lastIndexOf(':') + 1).trim());
        }

        /** Waits for a line that contains a text in the log of the current process, and returns it. */
        public String awaitLog(String text) throws IOException, InterruptedException {
            long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (System.nanoTime() - deadlineNs < 0) {
                for (String logLine : Files.readAllLines(log)) {
                    if (logLine.contains(text)) {
                        return logLine;
                    }
                }
                if (!process.isAlive()) {
                    break;
                }
                Thread.sleep(5);
            }
            throw new IllegalStateException(name + ": no '" + text + "' in\n" + Files.readString(log));
        }

        public Path socket() {
            return folder.resolve(name + ".s");
        }

        /** Returns the dispatcher as a server of a balancer. */
        public Balancer.Target target() {
            InetAddress host = InetAddress.getLoopbackAddress();
            return new Balancer.Target(name, new InetSocketAddress(host, port), new InetSocketAddress(host, agentPort),
                    new InetSocketAddress(host, httpPort));
        }

        public Process process() {
            return process;
        }

        /** Kills the process with SIGKILL, as the platform may do. */
        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        /** Sends a signal: STOP and CONT pause and resume the process, TERM shuts it down, HUP reloads its files. */
        public void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Runs a control command of the command line against this dispatcher and returns its output. */
        public String control(String... command) throws IOException, InterruptedException {
            List<String> commandLine = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar",
                    "target/granitefold.jar"));
            commandLine.addAll(List.of(command));
            commandLine.addAll(List.of("--socket", socket().toString()));
            Process controlProcess = new ProcessBuilder(commandLine).redirectErrorStream(true).start();
            String output = new String(controlProcess.getInputStream().readAllBytes());
            if (controlProcess.waitFor() != 0) {
                throw new IllegalStateException(String.join(" ", commandLine) + ": " + output);
            }
            return output;
        }

        @Override
        public void close() throws IOException {
            processes.forEach(Process::destroyForcibly);
            if (reservedPort != null) {
                reservedPort.close();
            }
        }
    }

    public Fleet(int workers, int slots) throws IOException {
        folder = Files.createTempDirectory("fleet");
        for (int i = 0; i < workers; i++) {
            this.workers.add(new StubWorker("s-" + i, slots));
        }
        discovery = new StubDiscovery(this.workers);
    }

    /**
     * Adds a dispatcher without starting it.
     *
     * @param operator lines that are appended to its operator's file
     * @param known its saved list of workers
     */
    public Dispatcher dispatcher(String operator, String known) {
        Dispatcher dispatcher = new Dispatcher("n" + dispatchers.size(), operator, known);
        dispatchers.add(dispatcher);
        return dispatcher;
    }

    /** Adds and starts dispatchers that know no worker until discovery sends them the list. */
    public Fleet startDispatchers(int count, String operator) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            Dispatcher d = dispatcher(operator, "{\"index\":0,\"snapshot\":true,\"endpoints\":[]}");
            d.start();
            d.awaitLog("phase: SERVING");
        }
        return this;
    }

    Balancer balancer(CheckRules rules) {
        return new Balancer(rules, dispatchers.stream().map(Dispatcher::target).toList());
    }

    /** Returns how many jobs were started on all workers, counting repeated starts. */
    public long jobsStarted() {
        return workers.stream().flatMap(w -> w.starts.values().stream()).mapToLong(n -> n).sum();
    }

    /** Returns how many ids were started more than once, on the same worker or on several. */
    public long jobsRepeated() {
        return workers.stream().flatMap(w -> w.starts.entrySet().stream()).collect(java.util.stream.Collectors.groupingBy(
                java.util.Map.Entry::getKey, java.util.stream.Collectors.summingInt(java.util.Map.Entry::getValue)))
                .values().stream().filter(n -> n > 1).count();
    }

    @Override
    public void close() throws IOException {
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.close();
        }
        discovery.close();
        for (StubWorker worker : workers) {
            worker.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
