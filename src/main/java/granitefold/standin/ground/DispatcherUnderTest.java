package granitefold.standin.ground;

import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.HttpConnection;
import granitefold.standin.ReservedPort;
import granitefold.standin.faults.SystemCallFaults;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * One dispatcher of the test bed, over all its successive processes. It has its own loopback address, which test beds that run
 * at the same time share, and reserves its ports there, so that no other process takes them while it is down.
 */
public final class DispatcherUnderTest {
    static final long TIMEOUT_S = 30;
    private static final int LOG_TAIL_LINES = 15, CHECK_TIMEOUT_MS = 2000;

    public final String name;
    final int index;
    /** The process's own addresses for clients and for siblings, without relays. */
    final InetSocketAddress listenAddress;
    final InetSocketAddress siblingAddress;
    final Path folder;
    private final History history;
    private final ObjectNode config;
    private final String operatorSettings;
    private final boolean secondAddress;
    private final boolean hasKeeper;
    private final List<ReservedPort> reservedPorts = new ArrayList<>();
    /** Null if no faults are injected into its system calls. */
    final SystemCallFaults faults;
    /** Held while a process is stopped and its successor is started. */
    final ReentrantLock lifecycleLock = new ReentrantLock();
    /** The keeper's own address, and the relay's address through which a controller reaches it. */
    final InetSocketAddress keeperAddress;
    volatile InetSocketAddress controlAddress;
    private Path jar;
    /** Concurrent: a monitor reads it while processes are started. */
    private final List<Incarnation> incarnations = new CopyOnWriteArrayList<>();
    /** The relay's address through which clients connect; set once the relay is open. */
    volatile InetSocketAddress clientAddress;

    /** One process of the dispatcher. */
    final class Incarnation {
        final Process process;
        final Path log;
        final Path jar;
        /** Whether the test bed terminated or killed it, so that its exit is no crash. */
        volatile boolean endExpected;
        private volatile int ops;

        Incarnation(Process process, Path log, Path jar) {
            this.process = process;
            this.log = log;
            this.jar = jar;
        }

        boolean logContains(String part) throws IOException {
            return Files.readString(log).contains(part);
        }

        /** Returns the address of its operations port, read from its log. */
        InetSocketAddress ops() throws IOException {
            if (ops == 0) {
                String line = Files.readAllLines(log).stream().filter(l -> l.contains("checks: ops on ")).findFirst()
                        .orElseThrow(() -> new IOException(name + " has not opened its operations port"));
                ops = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim());
            }
            return new InetSocketAddress(listenAddress.getAddress(), ops);
        }
    }

    DispatcherUnderTest(String name, int index, ObjectNode config, Scenario.Dispatchers settings, Path folder, Path jar, History history)
            throws IOException {
        this.name = name;
        this.index = index;
        this.config = config;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.history = history;
        this.jar = jar;
        secondAddress = settings.secondAddress();
        hasKeeper = settings.hasKeeper();
        faults = settings.faults() ? SystemCallFaults.create(library(folder), this.folder.resolve("faults")) : null;
        InetAddress own = InetAddress.getByAddress(new byte[] {127, 20, 0, (byte) (index + 1)});
        listenAddress = reserve(own);
        siblingAddress = reserve(own);
        keeperAddress = reserve(own);
        operatorSettings = "control.socket = \"" + socket() + "\"\n"
                + (settings.persistentState() ? "state.dir = \"" + Files.createDirectories(stateFolder()) + "\"\nstate.every = 200ms\n" : "")
                + settings.operator();
    }

    private static Path library(Path folder) throws IOException {
        try {
            return SystemCallFaults.build(folder);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private InetSocketAddress reserve(InetAddress own) throws IOException {
        ReservedPort port = new ReservedPort(own);
        reservedPorts.add(port);
        return port.address();
    }

    static String format(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Returns the configuration, which may be changed before a start or a reload. */
    ObjectNode config() {
        return config;
    }

    Path socket() {
        return folder.resolve("control");
    }

    Path stateFolder() {
        return folder.resolve("state");
    }

    /** Sets the jar for the next start. */
    void jar(Path next) {
        jar = next;
    }

    Incarnation current() {
        return incarnations.isEmpty() ? null : incarnations.get(incarnations.size() - 1);
    }

    boolean alive() {
        return current() != null && current().process.isAlive();
    }

    Path configFile() {
        return folder.resolve("config.json");
    }

    void writeConfig() throws IOException {
        Files.writeString(configFile(), config.toString());
    }

    /** Starts a process without waiting until it is ready; one with a second address may start while another still runs. */
    synchronized Incarnation start() throws IOException {
        if (secondAddress) {
            config.put("ops", listenAddress.getAddress().getHostAddress() + ":0");
        }
        writeConfig();
        Path log = folder.resolve("log-of-life-" + incarnations.size());
        if (hasKeeper) {
            return launch(log, keeperCommand());
        }
        List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + DispatcherConfig.heapMb(config) + "m", "-Xss512k", "-Xshare:auto",
                "-XX:-UsePerfData", "-XX:+ExitOnOutOfMemoryError", "-Djava.net.preferIPv4Stack=true", "-jar", jar.toString(), "serve", "--config", configFile().toString()));
        if (!secondAddress || incarnations.isEmpty()) {
            Path file = folder.resolve("operator.conf");
            Files.writeString(file, operatorSettings);
            line.addAll(List.of("--operator", file.toString()));
        }
        return launch(log, line);
    }

    /** Writes the keeper's configuration and returns its command line. */
    private List<String> keeperCommand() throws IOException {
        Path file = folder.resolve("keeper.conf");
        Files.writeString(file, "name = " + name + "\nlisten = \"" + format(keeperAddress) + "\"\nfolder = \"" + keeperFolder() + "\"\nconfig = \""
                + configFile()
                + "\"\nversion { label = old, jar = \"" + jar.toAbsolutePath() + "\" }\n");
        return List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m", "-Xshare:auto", "-jar", jar.toString(), "keep", file.toString());
    }

    private Path keeperFolder() {
        return folder.resolve("keeper");
    }

    /** Returns the running processes that the keeper has started, by the mark in their command lines. */
    private List<ProcessHandle> keeperProcesses() {
        String mark = "=" + keeperFolder() + "#";
        return ProcessHandle.allProcesses().filter(p -> p.info().arguments().map(List::of).orElse(List.of()).stream().anyMatch(a -> a.contains(mark))).toList();
    }

    /** Returns the jars that its processes run, by their command lines. */
    List<String> jars() {
        return keeperProcesses().stream().map(p -> List.of(p.info().arguments().orElse(new String[0]))).filter(a -> a.contains("-jar"))
                .map(a -> a.get(a.indexOf("-jar") + 1)).toList();
    }

    /** Returns the ids of the dispatcher's running processes, without its keeper's. */
    List<Long> processIds() {
        return hasKeeper ? keeperProcesses().stream().map(ProcessHandle::pid).toList()
                : incarnations.stream().map(i -> i.process).filter(Process::isAlive).map(Process::pid).toList();
    }

    private Incarnation launch(Path log, List<String> line) throws IOException {
        ProcessBuilder b = new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        b.environment().put("TMPDIR", folder.toString());
        if (faults != null) {
            b.environment().putAll(faults.environment());
        }
        Incarnation incarnation = new Incarnation(b.start(), log, jar);
        incarnations.add(incarnation);
        history.add(What.PROCESS, name, "started");
        incarnation.process.onExit().thenAccept(p -> history.add(What.PROCESS, name,
                incarnation.endExpected ? "exited" : "crashed with status " + p.exitValue() + ": " + lastLine(incarnation)));
        return incarnation;
    }

    /** Returns whether the current process is ready, by its health check or, with a second address, by its operations port. */
    boolean ready() throws IOException {
        Incarnation incarnation = current();
        if (incarnation == null || !incarnation.process.isAlive()) {
            throw new IOException("process has exited");
        }
        if (secondAddress && !hasKeeper) {
            return query(incarnation, "check").get(0).startsWith("ACK");
        }
        try (HttpConnection e = HttpConnection.open(listenAddress, CHECK_TIMEOUT_MS)) {
            e.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            return e.read() && e.status() == 200;
        }
    }

    void awaitReady() throws InterruptedException {
        Incarnation incarnation = current();
        Polling.until(name + " to become ready", TIMEOUT_S, () -> {
            if (!incarnation.process.isAlive()) {
                throw new IllegalStateException("process exited with status " + incarnation.process.exitValue());
            }
            return ready();
        }, this::lastLines);
        history.add(What.PROCESS, name, "ready");
    }

    /** Sends a command to the operations port and returns the lines of the reply. */
    List<String> query(Incarnation incarnation, String command) throws IOException {
        try (HttpConnection e = HttpConnection.open(incarnation.ops(), CHECK_TIMEOUT_MS)) {
            e.write(command + "\n");
            return e.readToEnd().lines().toList();
        }
    }

    /** Kills the process; if it has a keeper, that starts a new one. */
    void kill() {
        history.add(What.PROCESS, name, "killed");
        if (hasKeeper) {
            List<ProcessHandle> all = keeperProcesses();
            all.forEach(ProcessHandle::destroyForcibly);
            all.forEach(p -> p.onExit().join());
            history.add(What.PROCESS, name, "gone");
        } else {
            current().endExpected = true;
            current().process.destroyForcibly();
        }
    }

    /** Kills the process as the platform does after the grace period; unlike {@link #kill}, this permits no lost requests. */
    void killAfterGracePeriod() {
        if (alive()) {
            history.add(What.PROCESS, name, "ended by the kill");
            current().process.destroyForcibly();
        }
    }

    /** Records the rule violations and internal errors that its processes have logged. */
    void recordReportedErrors() throws IOException {
        for (Incarnation l : incarnations) {
            for (String line : Files.readAllLines(l.log)) {
                if (line.contains("rule broken: ") || line.contains("internal error on ")) {
                    history.add(What.PROCESS, name, "reports " + line);
                }
            }
        }
    }

    boolean hasKeeper() {
        return hasKeeper;
    }

    /** Kills the keeper and starts another one; the dispatcher keeps running. */
    void killKeeper() throws IOException, InterruptedException {
        current().endExpected = true;
        current().process.destroyForcibly().waitFor();
        start();
    }

    /** Requests a graceful shutdown of the process. */
    void terminate() {
        current().endExpected = true;
        history.add(What.PROCESS, name, "terminated");
        current().process.destroy();
    }

    /** Requests a graceful shutdown at the end of the run; a keeper is killed first, so that it does not restart its dispatcher. */
    void shutDown() {
        if (hasKeeper) {
            current().endExpected = true;
            current().process.destroyForcibly().onExit().join();
            keeperProcesses().forEach(ProcessHandle::destroy);
        } else {
            terminate();
        }
    }

    /** Returns whether the process, and all that its keeper started, exits within the time. */
    boolean awaitAllExited(long seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (hasKeeper && !keeperProcesses().isEmpty()) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            Thread.sleep(CHECK_TIMEOUT_MS / 100);
        }
        return awaitExit(seconds);
    }

    /** Returns whether the current process exits by a time of {@link System#nanoTime}. */
    boolean awaitExitUntil(long atNs) throws InterruptedException {
        return current().process.waitFor(atNs - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    boolean awaitExit(long seconds) throws InterruptedException {
        return current().process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Sends a signal to one of its processes without recording it. */
    void sendUnrecordedSignal(Incarnation incarnation, String signal) throws IOException {
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + incarnation.process.pid()).redirectErrorStream(true).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends STOP, CONT or HUP to the current process and records the first two. */
    void sendSignal(String signal) throws IOException {
        sendUnrecordedSignal(current(), signal);
        if (!signal.equals("HUP")) {
            history.add(What.PROCESS, name, signal.equals("STOP") ? "stopped" : "continued");
        }
    }

    private static String lastLine(Incarnation incarnation) {
        try {
            List<String> all = Files.readAllLines(incarnation.log);
            return all.isEmpty() ? "its log is empty" : all.get(all.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Returns the last lines of its log, for messages about timeouts. */
    String lastLines() {
        try {
            List<String> all = current() == null ? List.of("never started") : Files.readAllLines(current().log);
            return name + ":\n  " + String.join("\n  ", all.subList(Math.max(0, all.size() - LOG_TAIL_LINES), all.size()));
        } catch (IOException e) {
            return name + ": " + e;
        }
    }

    /** Kills all processes that still run, and releases the dispatcher's ports. */
    void close() throws IOException {
        for (Incarnation l : incarnations) {
            l.endExpected = true;
            l.process.destroyForcibly();
        }
        if (hasKeeper) {
            // only after the keepers have exited, because a keeper would start the next process
            incarnations.forEach(l -> l.process.onExit().join());
            keeperProcesses().forEach(ProcessHandle::destroyForcibly);
        }
        for (Incarnation l : incarnations) {
            try {
                l.process.waitFor(TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (ReservedPort port : reservedPorts) {
            port.close();
        }
    }
}
