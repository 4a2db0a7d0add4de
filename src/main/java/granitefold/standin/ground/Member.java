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
public final class Member {
    static final long PATIENCE_S = 30;
    private static final int LAST_LINES = 15, CHECK_MS = 2000;

    public final String name;
    final int number;
    /** Where clients reach it past any relay, and where siblings do. */
    final InetSocketAddress listen;
    final InetSocketAddress siblings;
    final Path folder;
    private final History history;
    private final ObjectNode config;
    private final String operator;
    private final boolean beside;
    private final boolean kept;
    /** Null where no system call of it is made to fail. */
    final SystemCallFaults faults;
    /** Held by who ends a process, until its next one has been started. */
    final ReentrantLock lifeCycle = new ReentrantLock();
    /** Where its keeper listens, and where a controller finds it: past a relay. */
    final InetSocketAddress keeper;
    volatile InetSocketAddress control;
    private Path jar;
    private final List<Life> lives = new ArrayList<>();
    /** Where the front finds it: set once the relay is there. */
    volatile InetSocketAddress front;

    /** One process. */
    final class Life {
        final Process process;
        final Path log;
        final Path jar;
        /** We told it to go, or killed it: its end is no crash. */
        volatile boolean toldToEnd;
        private volatile int ops;

        Life(Process process, Path log, Path jar) {
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
            return new InetSocketAddress(listen.getAddress(), ops);
        }
    }

    Member(String name, int number, ObjectNode config, Scenario.Dispatchers set, Path folder, Path jar, History history)
            throws IOException {
        this.name = name;
        this.number = number;
        this.config = config;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.history = history;
        this.jar = jar;
        beside = set.beside();
        kept = set.kept();
        faults = set.faults() ? SystemCallFaults.create(library(folder), this.folder.resolve("faults")) : null;
        InetAddress own = InetAddress.getByAddress(new byte[] {127, 20, 0, (byte) (number + 1)});
        listen = free(own);
        siblings = free(own);
        keeper = free(own);
        operator = "control.socket = \"" + socket() + "\"\n"
                + (set.state() ? "state.dir = \"" + Files.createDirectories(stateFolder()) + "\"\nstate.every = 200ms\n" : "") + set.operator();
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

    static String text(InetSocketAddress a) {
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

    Life life() {
        return lives.isEmpty() ? null : lives.get(lives.size() - 1);
    }

    boolean alive() {
        return life() != null && life().process.isAlive();
    }

    Path configFile() {
        return folder.resolve("config.json");
    }

    void writeConfig() throws IOException {
        Files.writeString(configFile(), config.toString());
    }

    /** Starts a process, beside one that runs where that is allowed. It is not ready yet. */
    synchronized Life start() throws IOException {
        if (beside) {
            config.put("ops", listen.getAddress().getHostAddress() + ":0");
        }
        writeConfig();
        Path log = folder.resolve("log-of-life-" + lives.size());
        if (kept) {
            return begin(log, keeperLine());
        }
        List<String> line = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-Xss512k", "-Xshare:auto",
                "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-jar", jar.toString(), "serve", "--config", configFile().toString()));
        if (!beside || lives.isEmpty()) {
            Path file = folder.resolve("operator.conf");
            Files.writeString(file, operator);
            line.addAll(List.of("--operator", file.toString()));
        }
        return begin(log, line);
    }

    /** A keeper that has its folder inside ours, and begins with our jar. */
    private List<String> keeperLine() throws IOException {
        Path file = folder.resolve("keeper.conf");
        Files.writeString(file, "name = " + name + "\nlisten = \"" + text(keeper) + "\"\nfolder = \"" + keeperFolder() + "\"\nconfig = \"" + configFile()
                + "\"\nversion { label = old, jar = \"" + jar.toAbsolutePath() + "\" }\n");
        return List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m", "-Xshare:auto", "-jar", jar.toString(), "keep", file.toString());
    }

    private Path keeperFolder() {
        return folder.resolve("keeper");
    }

    /** Processes of a kept dispatcher that live; its keeper marks them. */
    private List<ProcessHandle> keptProcesses() {
        String mark = "=" + keeperFolder() + "#";
        return ProcessHandle.allProcesses().filter(p -> p.info().arguments().map(List::of).orElse(List.of()).stream().anyMatch(a -> a.contains(mark))).toList();
    }

    /** The jars that its processes run, by their command lines. */
    List<String> jars() {
        return keptProcesses().stream().map(p -> List.of(p.info().arguments().orElse(new String[0]))).filter(a -> a.contains("-jar"))
                .map(a -> a.get(a.indexOf("-jar") + 1)).toList();
    }

    private Life begin(Path log, List<String> line) throws IOException {
        ProcessBuilder b = new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        b.environment().put("TMPDIR", folder.toString());
        if (faults != null) {
            b.environment().putAll(faults.environment());
        }
        Life life = new Life(b.start(), log, jar);
        lives.add(life);
        history.add(What.PROCESS, name, "started");
        life.process.onExit().thenAccept(p -> history.add(What.PROCESS, name,
                life.toldToEnd ? "exited" : "crashed with status " + p.exitValue() + ": " + lastLine(life)));
        return life;
    }

    /** Whether the present process serves, by its own word to the front, or at its second address where it has one. */
    boolean ready() throws IOException {
        Life life = life();
        if (life == null || !life.process.isAlive()) {
            throw new IOException("it has ended");
        }
        if (beside && !kept) {
            return ask(life, "check").get(0).startsWith("ACK");
        }
        try (HttpConnection e = HttpConnection.open(listen, CHECK_MS)) {
            e.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            return e.read() && e.status() == 200;
        }
    }

    void awaitReady() throws InterruptedException {
        Life life = life();
        Await.until(name + " to serve", PATIENCE_S, () -> {
            if (!life.process.isAlive()) {
                throw new IllegalStateException("it ended with status " + life.process.exitValue());
            }
            return ready();
        }, this::lastLines);
        history.add(What.PROCESS, name, "ready");
    }

    /** Asks at the second address. */
    List<String> ask(Life life, String call) throws IOException {
        try (HttpConnection e = HttpConnection.open(life.ops(), CHECK_MS)) {
            e.write(call + "\n");
            return e.readToEnd().lines().toList();
        }
    }

    /** Killed; a kept one is started anew by its keeper. */
    void kill() {
        history.add(What.PROCESS, name, "killed");
        if (kept) {
            List<ProcessHandle> all = keptProcesses();
            all.forEach(ProcessHandle::destroyForcibly);
            all.forEach(p -> p.onExit().join());
            history.add(What.PROCESS, name, "gone");
        } else {
            life().toldToEnd = true;
            life().process.destroyForcibly();
        }
    }

    /** The platform's kill, some time after it was told to end: what it owes by then it has lost. */
    void killAfterItsTime() {
        if (alive()) {
            history.add(What.PROCESS, name, "ended by the kill");
            life().process.destroyForcibly();
        }
    }

    /** Notes what its processes have logged of rules that they broke and of errors within. */
    void noteReports() throws IOException {
        for (Life l : lives) {
            for (String line : Files.readAllLines(l.log)) {
                if (line.contains("rule broken: ") || line.contains("internal error on ")) {
                    history.add(What.PROCESS, name, "reports " + line);
                }
            }
        }
    }

    boolean kept() {
        return kept;
    }

    /** Kills its keeper and starts another one; the dispatcher goes on. */
    void killKeeper() throws IOException, InterruptedException {
        life().toldToEnd = true;
        life().process.destroyForcibly().waitFor();
        start();
    }

    /** Told to end in order. */
    void terminate() {
        life().toldToEnd = true;
        history.add(What.PROCESS, name, "terminated");
        life().process.destroy();
    }

    /** The day is over: ended in order, a kept one after its keeper. */
    void end() {
        if (kept) {
            life().toldToEnd = true;
            life().process.destroyForcibly().onExit().join();
            keptProcesses().forEach(ProcessHandle::destroy);
        } else {
            terminate();
        }
    }

    /** Whether it and all that was started for it has ended in time. */
    boolean awaitGone(long seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (kept && !keptProcesses().isEmpty()) {
            if (System.nanoTime() - until > 0) {
                return false;
            }
            Thread.sleep(CHECK_MS / 100);
        }
        return awaitExit(seconds);
    }

    /** Whether its present process has ended by a time of {@link System#nanoTime}. */
    boolean awaitExitUntil(long atNs) throws InterruptedException {
        return life().process.waitFor(atNs - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    boolean awaitExit(long seconds) throws InterruptedException {
        return life().process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Sends any signal to one of its processes, and notes nothing. */
    void quietSignal(Life life, String signal) throws IOException {
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + life.process.pid()).redirectErrorStream(true).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** STOP, CONT or HUP. */
    void signal(String signal) throws IOException {
        quietSignal(life(), signal);
        if (!signal.equals("HUP")) {
            history.add(What.PROCESS, name, signal.equals("STOP") ? "stopped" : "continued");
        }
    }

    private static String lastLine(Life life) {
        try {
            List<String> all = Files.readAllLines(life.log);
            return all.isEmpty() ? "it has logged nothing" : all.get(all.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** The last lines of its log, for whoever has waited in vain. */
    String lastLines() {
        try {
            List<String> all = life() == null ? List.of("never started") : Files.readAllLines(life().log);
            return name + ":\n  " + String.join("\n  ", all.subList(Math.max(0, all.size() - LAST_LINES), all.size()));
        } catch (IOException e) {
            return name + ": " + e;
        }
    }

    /** Ends whatever still runs. */
    void close() {
        for (Life l : lives) {
            l.toldToEnd = true;
            l.process.destroyForcibly();
        }
        if (kept) {
            // without their keeper, lest it start the next one
            lives.forEach(l -> l.process.onExit().join());
            keptProcesses().forEach(ProcessHandle::destroyForcibly);
        }
        for (Life l : lives) {
            try {
                l.process.waitFor(PATIENCE_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
