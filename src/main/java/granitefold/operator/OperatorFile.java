package granitefold.operator;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.operator.OperatorSettings.ListenerLimits;
import granitefold.wire.InvalidInputException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the operator's file. */
public final class OperatorFile {
    private static final long MINUTE_MS = 60_000, HOUR_MS = 3_600_000;

    /** A file that was read: the settings, and every key with the value that holds. */
    public record Read(OperatorSettings settings, Map<String, String> effective) { }

    private OperatorFile() { }

    /** Reads and checks a file. */
    public static Read read(Path file) throws InvalidFileException {
        HoconFile.Read<OperatorSettings> read = HoconFile.read(file, OperatorFile::read);
        return new Read(read.value(), read.effective());
    }

    /** Reads and checks a text; {@code name} is what its problems are told by. */
    public static Read read(String name, String text) throws InvalidFileException {
        HoconFile.Read<OperatorSettings> read = HoconFile.read(name, text, OperatorFile::read);
        return new Read(read.value(), read.effective());
    }

    private static OperatorSettings read(ConfigSection all) {
        ConfigSection log = all.section("log");
        ConfigSection checks = all.section("checks");
        ConfigSection agent = checks.section("agent");
        ConfigSection http = checks.section("http");
        ConfigSection control = all.section("control");
        ConfigSection clients = all.section("clients");
        ConfigSection availability = all.section("availability");
        ConfigSection overload = availability.section("overload");
        ConfigSection probe = all.section("probe");
        ConfigSection eject = all.section("eject");
        ConfigSection state = all.section("state");
        OperatorSettings operator = new OperatorSettings(new OperatorSettings.Log(log.choice("format", "text", "text", "json").equals("json"), log.bool("requests", false)),
                agent(agent), http(http), control(control), clients(clients), availability(availability, overload),
                health(probe, eject), probe(probe), state(state));
        for (ConfigSection s : List.of(log, agent, http, checks, control, clients, overload, availability, probe, eject, state, all)) {
            s.reportUnknownKeys();
        }
        return operator;
    }

    private static ListenerLimits bounds(ConfigSection s) {
        return new ListenerLimits(s.integer("connections", 64, 1, 4096), s.integer("per-second", 1000, 1, 100_000),
                s.durationUs("timeout", 2_000_000, 50, MINUTE_MS));
    }

    private static OperatorSettings.Agent agent(ConfigSection s) {
        boolean on = s.has("listen");
        OperatorSettings.Agent agent = new OperatorSettings.Agent(s.address("listen"), bounds(s),
                s.durationUs("ready-for", 30_000_000, 0, HOUR_MS));
        return on ? agent : null;
    }

    private static OperatorSettings.Http http(ConfigSection s) {
        boolean on = s.has("listen");
        OperatorSettings.Http http = new OperatorSettings.Http(s.address("listen"), bounds(s),
                Integer.parseInt(s.choice("drain-status", "404", "404", "503")));
        return on ? http : null;
    }

    private static OperatorSettings.Control control(ConfigSection s) {
        // the kernel's sun_path holds 108 bytes with the end mark, and a name for a moment is longer by a few
        String path = s.string("socket", "", "an absolute path of at most 90 bytes", v -> v.startsWith("/")
                && v.indexOf('\0') < 0 && v.getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 90);
        return path.isEmpty() ? null : new OperatorSettings.Control(Path.of(path));
    }

    private static OperatorSettings.Clients clients(ConfigSection s) {
        String allowed = "a list of literal addresses";
        Set<InetAddress> from = new HashSet<>();
        s.strings("proxy-from", allowed, v -> {
            try {
                from.add(granitefold.wire.Address.of((v.contains(":") ? "[" + v + "]" : v) + ":0").getAddress());
                return true;
            } catch (InvalidInputException e) {
                return false;
            }
        });
        return new OperatorSettings.Clients(s.choice("proxy-protocol", "off", "off", "required").equals("required"), Set.copyOf(from),
                s.bool("envoy-headers", false), s.bool("load-metrics", false));
    }

    private static AvailabilitySettings availability(ConfigSection s, ConfigSection overload) {
        AvailabilitySettings d = AvailabilitySettings.DEFAULTS;
        return new AvailabilitySettings(s.durationUs("interval", d.intervalUs(), 10, MINUTE_MS), s.integer("rise", d.rise(), 1, 1000),
                s.integer("fall", d.fall(), 1, 1000), s.durationUs("dwell", d.dwellUs(), 0, HOUR_MS),
                s.integer("step-up", d.stepUp(), 1, 100), s.integer("step-down", d.stepDown(), 1, 100),
                s.integer("floor", d.minWeight(), 1, 100), s.integer("stale-weight", d.staleWeight(), 1, 99),
                s.integer("stale-tries", d.staleAttempts(), 1, 1_000_000), s.integer("slow-start-from", d.slowStartWeight(), 1, 100),
                s.durationUs("slow-start", d.slowStartUs(), 0, HOUR_MS), s.durationUs("silence", d.discoverySilenceUs(), 1000, HOUR_MS),
                overload.number("rejects", d.rejectShare(), 0.01, 1),
                overload.number("full", d.refusingWorkerShare(), 0.01, 1), overload.number("wait", d.waitMultiple(), 0.1, 1000),
                overload.durationUs("lag", d.lagUs(), 1, MINUTE_MS), overload.number("room", d.resourceShare(), 0.1, 1),
                overload.number("relief", d.reliefFactor(), 0.1, 0.99));
    }

    private static HealthSettings health(ConfigSection probe, ConfigSection eject) {
        HealthSettings d = HealthSettings.DEFAULTS;
        HealthSettings h = new HealthSettings(probe.bool("allowed", false), probe.durationUs("interval", d.intervalUs(), 50, HOUR_MS),
                probe.number("jitter", d.jitter(), 0, 0.9), probe.durationUs("timeout", d.timeoutUs(), 10, MINUTE_MS),
                probe.integer("rise", d.rise(), 1, 1000), probe.integer("fall", d.fall(), 1, 1000),
                probe.integer("at-once", d.maxConcurrentProbes(), 1, 256), probe.number("panic", d.panicShare(), 0, 1),
                probe.bool("slow-start", d.slowStart()), eject.integer("failures", d.ejectAfterFailures(), 0, 1000),
                eject.durationUs("time", d.ejectUs(), 100, HOUR_MS), eject.durationUs("most", d.maxEjectUs(), 100, HOUR_MS),
                eject.number("share", d.maxEjectedShare(), 0, 1));
        return h.probesEnabled() || h.ejectAfterFailures() > 0 ? h : null;
    }

    private static OperatorSettings.State state(ConfigSection s) {
        String dir = s.string("dir", "", "an absolute path", v -> v.startsWith("/") && v.indexOf('\0') < 0);
        OperatorSettings.State state = new OperatorSettings.State(dir.isEmpty() ? null : Path.of(dir), s.durationUs("every", 1_000_000, 100, HOUR_MS),
                s.integer("keep", 2, 2, 10));
        return dir.isEmpty() ? null : state;
    }

    private static OperatorSettings.Probe probe(ConfigSection s) {
        return new OperatorSettings.Probe(s.string("path", OperatorSettings.NONE.probe().path(), "a path of visible ASCII that begins with /",
                v -> v.matches("/[!-~]{0,200}")));
    }

    /** Keys of {@code to} that a running process cannot take over from {@code from}. */
    public static List<String> keysNeedingRestart(OperatorSettings from, OperatorSettings to) {
        List<String> keys = new java.util.ArrayList<>();
        if (from.log().json() != to.log().json()) {
            keys.add("log.format");
        }
        if (from.log().requests() != to.log().requests()) {
            keys.add("log.requests");
        }
        if (!java.util.Objects.equals(from.control(), to.control())) {
            keys.add("control.socket");
        }
        if (!from.clients().equals(to.clients())) {
            keys.add("clients");
        }
        if (!java.util.Objects.equals(from.health(), to.health())) {
            keys.add("probe and eject");
        }
        if (!java.util.Objects.equals(from.probe(), to.probe())) {
            keys.add("probe.path");
        }
        if (!java.util.Objects.equals(from.state(), to.state())) {
            keys.add("state");
        }
        if (!from.hasCheckListener() && to.hasCheckListener()) {
            keys.add("checks");
        }
        return keys;
    }
}
