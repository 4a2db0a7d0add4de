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

/** One process of a keeper's dispatcher, started by it or found again after the keeper's own restart. */
final class SupervisedProcess {
    private static final String MARK = "-Dgranitefold.life=";
    private static final Pattern OPS = Pattern.compile("checks: ops on (\\S+):(\\d+)");
    private static final Pattern RSS = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final int ASK_MS = 1000, LONGEST_LOG = 1 << 20;

    final long incarnation;
    final ProcessHandle handle;
    private final Path log;
    private volatile InetSocketAddress ops;
    private volatile double heldS;
    private volatile double watchedS;
    private long watchedAt;

    private SupervisedProcess(long incarnation, ProcessHandle handle, Path log) {
        this.incarnation = incarnation;
        this.handle = handle;
        this.log = log;
    }

    private static Path log(SupervisorFile f, long incarnation) {
        return f.folder().resolve("log-" + incarnation);
    }

    /** Starts one. Its configuration is the keeper's, or the version's own, with a second address of its own. */
    static SupervisedProcess start(SupervisorFile f, long incarnation, Version v) throws IOException {
        Path base = v.config().isEmpty() ? f.config() : Path.of(v.config());
        ObjectNode config = (ObjectNode) ChecksummedFile.JSON.readTree(Files.readAllBytes(base));
        String listen = config.path("listen").asText();
        config.put("ops", listen.substring(0, listen.lastIndexOf(':')) + ":0");
        Path file = f.folder().resolve("config-" + incarnation + ".json");
        Files.write(file, ChecksummedFile.JSON.writeValueAsBytes(config));
        List<String> line = new ArrayList<>(f.java());
        line.add(MARK + f.folder() + "#" + incarnation);
        line.addAll(List.of("-jar", v.jar(), "serve", "--config", file.toString()));
        if (!v.operator().isEmpty()) {
            line.addAll(List.of("--operator", v.operator()));
        }
        Path log = log(f, incarnation);
        ProcessBuilder b = new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        b.environment().put("TMPDIR", f.folder().toString());
        b.environment().remove("LB_OPS");
        return new SupervisedProcess(incarnation, b.start().toHandle(), log);
    }

    /** Those of a keeper's folder that live, whoever started them: the mark is in their arguments. */
    static List<SupervisedProcess> find(SupervisorFile f) {
        String mark = MARK + f.folder() + "#";
        List<SupervisedProcess> found = new ArrayList<>();
        ProcessHandle.allProcesses().forEach(p -> {
            Optional<String[]> arguments = p.info().arguments();
            for (String a : arguments.orElse(new String[0])) {
                if (a.startsWith(mark)) {
                    long incarnation = Long.parseLong(a.substring(mark.length()));
                    found.add(new SupervisedProcess(incarnation, p, log(f, incarnation)));
                }
            }
        });
        return found;
    }

    boolean serves() {
        try {
            return ask("check").startsWith("ACK");
        } catch (IOException e) {
            return false;
        }
    }

    /** Its figures now, or null where it tells none. */
    Sample sample() {
        try {
            JsonNode vars = ChecksummedFile.JSON.readTree(ask("vars"));
            Map<String, Sample.Counts> classes = new LinkedHashMap<>();
            vars.path("replies").fields().forEachRemaining(e -> classes.put(e.getKey(), new Sample.Counts(e.getValue().path("success").asLong(),
                    e.getValue().path("overload").asLong(), e.getValue().path("error").asLong())));
            return new Sample(incarnation, classes, vars.path("dispatches").asLong(), heldS, watchedS, rssKb());
        } catch (IOException e) {
            return null;
        }
    }

    /** Adds up what it holds: one look tells little where it is a few requests. From one thread. */
    void watch() {
        try {
            int now = ChecksummedFile.JSON.readTree(ask("vars")).path("concurrent").asInt();
            long at = System.nanoTime();
            if (watchedAt != 0) {
                double s = (at - watchedAt) / 1e9;
                heldS = heldS + now * s;
                watchedS = watchedS + s;
            }
            watchedAt = at;
        } catch (IOException e) {
            // it tells nothing now: the time until it does is not counted
            watchedAt = 0;
        }
    }

    private long rssKb() {
        try {
            Matcher m = RSS.matcher(Files.readString(Path.of("/proc/" + handle.pid() + "/status")));
            return m.find() ? Long.parseLong(m.group(1)) : 0;
        } catch (IOException e) {
            // not on this system, or it has just ended
            return 0;
        }
    }

    private String ask(String call) throws IOException {
        if (ops == null) {
            byte[] head;
            try (var in = Files.newInputStream(log)) {
                head = in.readNBytes(LONGEST_LOG);
            }
            Matcher m = OPS.matcher(new String(head, StandardCharsets.UTF_8));
            if (!m.find()) {
                throw new IOException("no second address yet");
            }
            ops = new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
        }
        try (Socket s = new Socket()) {
            s.connect(ops, ASK_MS);
            s.setSoTimeout(ASK_MS);
            s.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8)).readLine();
            if (line == null) {
                throw new IOException("no answer");
            }
            return line;
        }
    }

    /** The last line that it wrote, for whoever asks why it ended. */
    String lastLine() {
        try {
            List<String> all = Files.readAllLines(log);
            return all.isEmpty() ? "it wrote nothing" : all.get(all.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
