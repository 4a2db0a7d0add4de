package granitefold.cli.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.rollout.Sample;
import granitefold.rollout.Version;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the supervised dispatcher, started by the supervisor or found again after the supervisor's restart. */
final class SupervisedProcess {
    private static final String MARKER = "-Dgranitefold.life=";
    private static final Pattern OPS = Pattern.compile("checks: ops on (\\S+):(\\d+)");
    private static final Pattern RESIDENT_KB = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final int REQUEST_TIMEOUT_MS = 1000, MAX_LOG_HEAD_BYTES = 1 << 20;

    final long incarnation;
    final ProcessHandle handle;
    private final Path log;
    private volatile InetSocketAddress ops;
    private volatile double heldS;
    private volatile double watchedS;
    private long lastReadingNs;

    private SupervisedProcess(long incarnation, ProcessHandle handle, Path log) {
        this.incarnation = incarnation;
        this.handle = handle;
        this.log = log;
    }

    private static Path log(SupervisorFile settings, long incarnation) {
        return settings.folder().resolve("log-" + incarnation);
    }

    /** Starts a process with the version's configuration, or else the supervisor's; its ops address gets a free port. */
    static SupervisedProcess start(SupervisorFile settings, long incarnation, Version version) throws IOException {
        Path base = version.config().isEmpty() ? settings.config() : Path.of(version.config());
        ObjectNode config = (ObjectNode) ChecksummedFile.JSON.readTree(Files.readAllBytes(base));
        String listen = config.path("listen").asText();
        config.put("ops", listen.substring(0, listen.lastIndexOf(':')) + ":0");
        Path file = settings.folder().resolve("config-" + incarnation + ".json");
        Files.write(file, ChecksummedFile.JSON.writeValueAsBytes(config));
        List<String> command = new ArrayList<>(settings.java());
        command.add(MARKER + settings.folder() + "#" + incarnation);
        command.addAll(List.of("-jar", version.jar(), "serve", "--config", file.toString()));
        if (!version.operator().isEmpty()) {
            command.addAll(List.of("--operator", version.operator()));
        }
        Path log = log(settings, incarnation);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("TMPDIR", settings.folder().toString());
        builder.environment().remove("LB_OPS");
        return new SupervisedProcess(incarnation, builder.start().toHandle(), log);
    }

    /** Returns the running processes of a supervisor's folder, identified by the marker in their arguments. */
    static List<SupervisedProcess> find(SupervisorFile settings) {
        String marker = MARKER + settings.folder() + "#";
        List<SupervisedProcess> running = new ArrayList<>();
        ProcessHandle.allProcesses().forEach(p -> {
            Optional<String[]> arguments = p.info().arguments();
            for (String a : arguments.orElse(new String[0])) {
                if (a.startsWith(marker)) {
                    long incarnation = Long.parseLong(a.substring(marker.length()));
                    running.add(new SupervisedProcess(incarnation, p, log(settings, incarnation)));
                }
            }
        });
        return running;
    }

    boolean isReady() {
        try {
            return request("check").startsWith("ACK");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the present metrics of the process, or null if it does not respond. */
    Sample sample() {
        try {
            JsonNode vars = ChecksummedFile.JSON.readTree(request("vars"));
            Map<String, Sample.Counts> classes = new LinkedHashMap<>();
            vars.path("replies").fields().forEachRemaining(e -> classes.put(e.getKey(), new Sample.Counts(e.getValue().path("success").asLong(),
                    e.getValue().path("overload").asLong(), e.getValue().path("error").asLong())));
            return new Sample(incarnation, classes, vars.path("dispatches").asLong(), heldS, watchedS, rssKb());
        } catch (IOException e) {
            return null;
        }
    }

    /** Integrates the number of held requests over time, since a single reading of a small number says little. Called from one thread. */
    void integrateHeld() {
        try {
            int held = ChecksummedFile.JSON.readTree(request("vars")).path("concurrent").asInt();
            long nowNs = System.nanoTime();
            if (lastReadingNs != 0) {
                double s = (nowNs - lastReadingNs) / 1e9;
                heldS = heldS + held * s;
                watchedS = watchedS + s;
            }
            lastReadingNs = nowNs;
        } catch (IOException e) {
            // no response: the time until the next one is not counted
            lastReadingNs = 0;
        }
    }

    private long rssKb() {
        try {
            Matcher m = RESIDENT_KB.matcher(Files.readString(Path.of("/proc/" + handle.pid() + "/status")));
            return m.find() ? Long.parseLong(m.group(1)) : 0;
        } catch (IOException e) {
            // there is no /proc on this system, or the process has just exited
            return 0;
        }
    }

    private String request(String verb) throws IOException {
        if (ops == null) {
            byte[] head;
            try (var in = Files.newInputStream(log)) {
                head = in.readNBytes(MAX_LOG_HEAD_BYTES);
            }
            Matcher m = OPS.matcher(new String(head, StandardCharsets.UTF_8));
            if (!m.find()) {
                throw new IOException("no ops address in the log yet");
            }
            ops = new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
        }
        try (Socket s = new Socket()) {
            s.connect(ops, REQUEST_TIMEOUT_MS);
            s.setSoTimeout(REQUEST_TIMEOUT_MS);
            s.getOutputStream().write((verb + "\n").getBytes(StandardCharsets.US_ASCII));
            String response = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8)).readLine();
            if (response == null) {
                throw new IOException("no response");
            }
            return response;
        }
    }

    /** Returns the last line of the log, as the reason of the process's exit. */
    String lastLine() {
        try {
            List<String> all = Files.readAllLines(log);
            return all.isEmpty() ? "empty log" : all.get(all.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
