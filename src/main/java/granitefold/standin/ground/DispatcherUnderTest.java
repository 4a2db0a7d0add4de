package granitefold.standin.ground;

import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.HttpConnection;
import granitefold.standin.faults.SystemCallFaults;
import granitefold.standin.history.Entry.What;
import granitefold.standin.history.History;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * One dispatcher of the ground: a process of a built jar, and the one after it. It has a loopback address of its own, so that
 * its ports stay its own while it is away.
 */
public final class DispatcherUnderTest {
    static final long TIMEOUT_S = 30;
    private static final int LOG_TAIL_LINES = 15, CHECK_TIMEOUT_MS = 2000;

    public final String name;
    final int index;
    /** Where clients reach it past any relay, and where siblings do. */
    final InetSocketAddress listenAddress;
    final InetSocketAddress siblingAddress;
    final Path folder;
    private final History history;
    private final ObjectNode config;
    private final String operatorSettings;
    private final boolean secondAddress;
    private final boolean hasKeeper;
    /** Null where no system call of it is made to fail. */
    final SystemCallFaults faults;
    /** Held by who ends a process, until its next one has been started. */
    final ReentrantLock lifecycleLock = new ReentrantLock();
    /** Where its keeper listens, and where a controller finds it: past a relay. */
    final InetSocketAddress keeperAddress;
    volatile InetSocketAddress controlAddress;
    private Path jar;
    private final List<Incarnation> incarnations = new ArrayList<>();
    /** Where the front finds it: set once the relay is there. */
    volatile InetSocketAddress clientAddress;

    /** One process. */
    final class Incarnation {
        final Process process;
        final Path log;
        final Path jar;
        /** We told it to go, or killed it: its end is no crash. */
        volatile boolean endExpected;
        private volatile int ops;

        Incarnation(Process process, Path log, Path jar) {
            this.process = process;
            this.log = log;
            this.jar = jar;
        }

        boolean says(String part) throws IOException {
            return Files.readString(log).contains(part);
        }

        /** Where its second address is. */
        InetSocketAddress ops() throws IOException {
            if (ops == 0) {
                String line = Files.readAllLines(log).stream().filter(l -> l.contains("checks: ops on ")).findFirst()
                        .orElseThrow(() -> new IOException(name + " has not opened its second address"));
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
        listenAddress = free(own);
        siblingAddress = free(own);
        keeperAddress = free(own);
        operatorSettings = "control.socket = \"" + socket() + "\"\n"
                + (settings.persistentState() ? "state.dir = \"" + Files.createDirectories(stateFolder()) + "\"\nstate.every = 200ms\n" : "") + settings.operator();
    }

    private static Path library(Path folder) throws IOException {
        try {
            return SystemCallFaults.build(folder);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static InetSocketAddress free(InetAddress own) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, own)) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    static String format(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Its configuration, to be changed before a start or a reload. */
    ObjectNode config() {
        return config;
    }

    Path socket() {
        return folder.resolve("control");
    }

    Path stateFolder() {
        return folder.resolve("state");
    }

    /** From its next start on it runs this jar. */
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

    /** Starts a process, beside one that runs where that is allowed. It is not ready yet. */
    synchronized Incarnation start() throws IOException {
        if (secondAddress) {
            config.put("ops", listenAddress.getAddress().getHostAddress() + ":0");
        }
        writeConfig();
        Path log = folder.resolve("log-of-life-" + incarnations.size());
        if (hasKeeper) {
            return launch(log, keeperCommand());
        }
        List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k", "-Xshare:auto",
                "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-jar", jar.toString(), "serve", "--config", configFile().toString()));
        if (!secondAddress || incarnations.isEmpty()) {
            Path file = folder.resolve("operator.conf");
            Files.writeString(file, operatorSettings);
            line.addAll(List.of("--operator", file.toString()));
        }
        return launch(log, line);
    }

    /** A keeper that has its folder inside ours, and begins with our jar. */
    private List<String> keeperCommand() throws IOException {
        Path file = folder.resolve("keeper.conf");
        Files.writeString(file, "name = " + name + "\nlisten = \"" + format(keeperAddress) + "\"\nfolder = \"" + keeperFolder() + "\"\nconfig = \"" + configFile()
                + "\"\nversion { label = old, jar = \"" + jar.toAbsolutePath() + "\" }\n");
        return List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m", "-Xshare:auto", "-jar", jar.toString(), "keep", file.toString());
    }

    private Path keeperFolder() {
        return folder.resolve("keeper");
    }

    /** Processes of a kept dispatcher that live; its keeper marks them. */
    private List<ProcessHandle> keeperProcesses() {
        String mark = "=" + keeperFolder() + "#";
        return ProcessHandle.allProcesses().filter(p -> p.info().arguments().map(List::of).orElse(List.of()).stream().anyMatch(a -> a.contains(mark))).toList();
    }

    /** The jars that its processes run, by their command lines. */
    List<String> jars() {
        return keeperProcesses().stream().map(p -> List.of(p.info().arguments().orElse(new String[0]))).filter(a -> a.contains("-jar"))
                .map(a -> a.get(a.indexOf("-jar") + 1)).toList();
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

    /** Whether the present process serves, by its own word to the front, or at its second address where it has one. */
    boolean ready() throws IOException {
        Incarnation incarnation = current();
        if (incarnation == null || !incarnation.process.isAlive()) {
            throw new IOException("it has ended");
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
        Polling.until(name + " to serve", TIMEOUT_S, () -> {
            if (!incarnation.process.isAlive()) {
                throw new IllegalStateException("it ended with status " + incarnation.process.exitValue());
            }
            return ready();
        }, this::lastLines);
        history.add(What.PROCESS, name, "ready");
    }

    /** Asks at the second address. */
    List<String> query(Incarnation incarnation, String call) throws IOException {
        try (HttpConnection e = HttpConnection.open(incarnation.ops(), CHECK_TIMEOUT_MS)) {
            e.write(call + "\n");
            return e.readToEnd().lines().toList();
        }
    }

    /** Killed; a kept one is started anew by its keeper. */
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

    /** The platform's kill, some time after it was told to end: what it owes by then it has lost. */
    void killAfterGracePeriod() {
        if (alive()) {
            history.add(What.PROCESS, name, "ended by the kill");
            current().process.destroyForcibly();
        }
    }

    /** Notes what its processes have logged of rules that they broke and of errors within. */
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

    /** Kills its keeper and starts another one; the dispatcher goes on. */
    void killKeeper() throws IOException, InterruptedException {
        current().endExpected = true;
        current().process.destroyForcibly().waitFor();
        start();
    }

    /** Told to end in order. */
    void terminate() {
        current().endExpected = true;
        history.add(What.PROCESS, name, "terminated");
        current().process.destroy();
    }

    /** The day is over: ended in order, a kept one after its keeper. */
    void shutDown() {
        if (hasKeeper) {
            current().endExpected = true;
            current().process.destroyForcibly().onExit().join();
            keeperProcesses().forEach(ProcessHandle::destroy);
        } else {
            terminate();
        }
    }

    /** Whether it and all that was started for it has ended in time. */
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

    /** Whether its present process has ended by a time of {@link System#nanoTime}. */
    boolean awaitExitUntil(long atNs) throws InterruptedException {
        return current().process.waitFor(atNs - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    boolean awaitExit(long seconds) throws InterruptedException {
        return current().process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Sends any signal to one of its processes, and notes nothing. */
    void sendUnrecordedSignal(Incarnation incarnation, String signal) throws IOException {
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + incarnation.process.pid()).redirectErrorStream(true).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** STOP, CONT or HUP. */
    void sendSignal(String signal) throws IOException {
        sendUnrecordedSignal(current(), signal);
        if (!signal.equals("HUP")) {
            history.add(What.PROCESS, name, signal.equals("STOP") ? "stopped" : "continued");
        }
    }

    private static String lastLine(Incarnation incarnation) {
        try {
            List<String> all = Files.readAllLines(incarnation.log);
            return all.isEmpty() ? "it has logged nothing" : all.get(all.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** The last lines of its log, for whoever has waited in vain. */
    String lastLines() {
        try {
            List<String> all = current() == null ? List.of("never started") : Files.readAllLines(current().log);
            return name + ":\n  " + String.join("\n  ", all.subList(Math.max(0, all.size() - LOG_TAIL_LINES), all.size()));
        } catch (IOException e) {
            return name + ": " + e;
        }
    }

    /** Ends whatever still runs. */
    void close() {
        for (Incarnation l : incarnations) {
            l.endExpected = true;
            l.process.destroyForcibly();
        }
        if (hasKeeper) {
            // without their keeper, lest it start the next one
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
    }
}
