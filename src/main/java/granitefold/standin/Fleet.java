package granitefold.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small fleet on loopback: stand-in workers and discovery, and real dispatchers as processes of the built jar. */
public final class Fleet implements Closeable {
    private static final long PATIENCE_S = 30;

    public final List<StubWorker> workers = new ArrayList<>();
    public final StubDiscovery discovery;
    public final List<Dispatcher> dispatchers = new ArrayList<>();
    final Path folder;

    /** One real dispatcher. */
    public final class Dispatcher implements Closeable {
        public final String name;
        private final String operator;
        private final String known;
        private Process process;
        private final List<Process> processes = new ArrayList<>();
        private Path log;
        private int lives;
        /** After a restart it must be found where it was. */
        private int port;
        private int agentPort;
        private int httpPort;
        /** Of the present life's second address; 0 where it has none. */
        private int opsPort;

        private Dispatcher(String name, String operator, String known) {
            this.name = name;
            this.operator = operator;
            this.known = known;
        }

        /** Starts it, for the first time or again at the same addresses. */
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
         * Starts it so that another version may be started beside it, with a second address; or starts that other one
         * beside the process that runs. Returns the process before, null where there was none.
         */
        public Process startAlongside() throws IOException, InterruptedException {
            Process before = process;
            if (port == 0) {
                // both have to be told the same address
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    port = free.getLocalPort();
                }
            }
            launch("\"ops\":\"127.0.0.1:0\",");
            opsPort = portIn("checks: ops on ");
            return before;
        }

        private void launch(String fields, String... arguments) throws IOException {
            Path config = folder.resolve(name + "-" + lives + ".json");
            log = folder.resolve(name + "-" + lives++ + ".log");
            Files.writeString(config, config().replaceFirst("\\{", "{" + fields));
            List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k",
                    "-jar", Path.of("target/granitefold.jar").toString(), "serve", "--config", config.toString()));
            line.addAll(List.of(arguments));
            ProcessBuilder b = new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
            b.environment().put("TMPDIR", folder.toString());
            process = b.start();
            process.onExit();
            processes.add(process);
        }

        /** Asks at the second address; the answer's lines. */
        public List<String> callOps(String call) throws IOException {
            try (HttpConnection e = HttpConnection.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), opsPort),
                    (int) TimeUnit.SECONDS.toMillis(PATIENCE_S))) {
                e.write(call + "\n");
                return e.readToEnd().lines().toList();
            }
        }

        /** Waits until the present life says at its second address that it can serve. */
        public void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            while (!callOps("check").get(0).startsWith("ACK")) {
                if (System.nanoTime() - until > 0) {
                    throw new IllegalStateException(name + " does not come to serve:\n" + Files.readString(log));
                }
                Thread.sleep(5);
            }
        }

        /** Where clients connect. */
        public InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        }

        /** Where the second address is; for those who say nothing there. */
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
            String found = awaitLog(line);
            return Integer.parseInt(found.substring(found.lastIndexOf(':') + 1).trim());
        }

        /** Waits for a line of this life's log that holds a text. */
        public String awaitLog(String part) throws IOException, InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            while (System.nanoTime() - until < 0) {
                for (String l : Files.readAllLines(log)) {
                    if (l.contains(part)) {
                        return l;
                    }
                }
                if (!process.isAlive()) {
                    break;
                }
                Thread.sleep(5);
            }
            throw new IllegalStateException(name + ": no '" + part + "' in\n" + Files.readString(log));
        }

        public Path socket() {
            return folder.resolve(name + ".s");
        }

        /** As a balancer knows it. */
        public Balancer.Target target() {
            InetAddress host = InetAddress.getLoopbackAddress();
            return new Balancer.Target(name, new InetSocketAddress(host, port), new InetSocketAddress(host, agentPort),
                    new InetSocketAddress(host, httpPort));
        }

        public Process process() {
            return process;
        }

        /** Ends it as the platform may: at once. */
        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        /** STOP and CONT make it slow, TERM ends it in order, HUP makes it read its files anew. */
        public void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** Runs a control command on it by the command line and returns what that prints. */
        public String control(String... command) throws IOException, InterruptedException {
            List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar",
                    "target/granitefold.jar"));
            line.addAll(List.of(command));
            line.addAll(List.of("--socket", socket().toString()));
            Process p = new ProcessBuilder(line).redirectErrorStream(true).start();
            String said = new String(p.getInputStream().readAllBytes());
            if (p.waitFor() != 0) {
                throw new IllegalStateException(String.join(" ", line) + ": " + said);
            }
            return said;
        }

        @Override
        public void close() {
            processes.forEach(Process::destroyForcibly);
        }
    }

    public Fleet(int workers, int slots) throws IOException {
        folder = Files.createTempDirectory("fleet");
        for (int i = 0; i < workers; i++) {
            this.workers.add(new StubWorker("s-" + i, slots));
        }
        discovery = new StubDiscovery(this.workers);
    }

    /** Another dispatcher, not started; {@code operator} joins its operator's file, {@code known} is its saved list. */
    public Dispatcher dispatcher(String operator, String known) {
        Dispatcher d = new Dispatcher("n" + dispatchers.size(), operator, known);
        dispatchers.add(d);
        return d;
    }

    /** So many dispatchers, started, that know no peer before discovery tells them. */
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

    /** Jobs started so far, anywhere, each as often as it was. */
    public long jobsStarted() {
        return workers.stream().flatMap(c -> c.starts.values().stream()).mapToLong(n -> n).sum();
    }

    /** Jobs that were started more than once, anywhere. */
    public long jobsRepeated() {
        return workers.stream().flatMap(c -> c.starts.entrySet().stream()).collect(java.util.stream.Collectors.groupingBy(
                java.util.Map.Entry::getKey, java.util.stream.Collectors.summingInt(java.util.Map.Entry::getValue)))
                .values().stream().filter(n -> n > 1).count();
    }

    @Override
    public void close() throws IOException {
        dispatchers.forEach(Dispatcher::close);
        discovery.close();
        for (StubWorker c : workers) {
            c.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
