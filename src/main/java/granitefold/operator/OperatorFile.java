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

    /** The settings read from a file, and every known key with its effective value. */
    public record Read(OperatorSettings settings, Map<String, String> effective) { }

    private OperatorFile() { }

    /** Reads and validates a file. */
    public static Read read(Path file) throws InvalidFileException {
        HoconFile.Read<OperatorSettings> read = HoconFile.read(file, OperatorFile::read);
        return new Read(read.value(), read.effective());
    }

    /** Reads and validates a text; its problems are reported under {@code name}. */
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
        OperatorSettings settings = new OperatorSettings(
                new OperatorSettings.Log(log.choice("format", "text", "text", "json").equals("json"), log.bool("requests", false)),
                agent(agent), http(http), control(control), clients(clients), availability(availability, overload),
                health(probe, eject), probe(probe), state(state));
        for (ConfigSection section : List.of(log, agent, http, checks, control, clients, overload, availability, probe, eject, state, all)) {
            section.reportUnknownKeys();
        }
        return settings;
    }

    private static ListenerLimits limits(ConfigSection section) {
        return new ListenerLimits(section.integer("connections", 64, 1, 4096), section.integer("per-second", 1000, 1, 100_000),
                section.durationUs("timeout", 2_000_000, 50, MINUTE_MS));
    }

    private static OperatorSettings.Agent agent(ConfigSection section) {
        boolean enabled = section.has("listen");
        OperatorSettings.Agent agent = new OperatorSettings.Agent(section.address("listen"), limits(section),
                section.durationUs("ready-for", 30_000_000, 0, HOUR_MS));
        return enabled ? agent : null;
    }

    private static OperatorSettings.Http http(ConfigSection section) {
        boolean enabled = section.has("listen");
        OperatorSettings.Http http = new OperatorSettings.Http(section.address("listen"), limits(section),
                Integer.parseInt(section.choice("drain-status", "404", "404", "503")));
        return enabled ? http : null;
    }

    private static OperatorSettings.Control control(ConfigSection section) {
        // The kernel's sun_path holds 108 bytes including the terminating zero, and a temporary name is a few bytes longer.
        String path = section.string("socket", "", "an absolute path of at most 90 bytes", v -> v.startsWith("/")
                && v.indexOf('\0') < 0 && v.getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 90);
        return path.isEmpty() ? null : new OperatorSettings.Control(Path.of(path));
    }

    private static OperatorSettings.Clients clients(ConfigSection section) {
        String allowed = "a list of literal addresses";
        Set<InetAddress> sources = new HashSet<>();
        section.strings("proxy-from", allowed, value -> {
            try {
                sources.add(granitefold.wire.Address.of((value.contains(":") ? "[" + value + "]" : value) + ":0").getAddress());
                return true;
            } catch (InvalidInputException e) {
                return false;
            }
        });
        return new OperatorSettings.Clients(section.choice("proxy-protocol", "off", "off", "required").equals("required"), Set.copyOf(sources),
                section.bool("envoy-headers", false), section.bool("load-metrics", false));
    }

    private static AvailabilitySettings availability(ConfigSection section, ConfigSection overload) {
        AvailabilitySettings defaults = AvailabilitySettings.DEFAULTS;
        return new AvailabilitySettings(section.durationUs("interval", defaults.intervalUs(), 10, MINUTE_MS),
                section.integer("rise", defaults.rise(), 1, 1000), section.integer("fall", defaults.fall(), 1, 1000),
                section.durationUs("dwell", defaults.dwellUs(), 0, HOUR_MS),
                section.integer("step-up", defaults.stepUp(), 1, 100), section.integer("step-down", defaults.stepDown(), 1, 100),
                section.integer("floor", defaults.minWeight(), 1, 100), section.integer("stale-weight", defaults.staleWeight(), 1, 99),
                section.integer("stale-tries", defaults.staleAttempts(), 1, 1_000_000),
                section.integer("slow-start-from", defaults.slowStartWeight(), 1, 100),
                section.durationUs("slow-start", defaults.slowStartUs(), 0, HOUR_MS),
                section.durationUs("silence", defaults.discoverySilenceUs(), 1000, HOUR_MS),
                overload.number("rejects", defaults.rejectShare(), 0.01, 1),
                overload.number("full", defaults.refusingWorkerShare(), 0.01, 1), overload.number("wait", defaults.waitMultiple(), 0.1, 1000),
                overload.durationUs("lag", defaults.lagUs(), 1, MINUTE_MS), overload.number("room", defaults.resourceShare(), 0.1, 1),
                overload.number("relief", defaults.reliefFactor(), 0.1, 0.99));
    }

    private static HealthSettings health(ConfigSection probe, ConfigSection eject) {
        HealthSettings defaults = HealthSettings.DEFAULTS;
        HealthSettings settings = new HealthSettings(probe.bool("allowed", false), probe.durationUs("interval", defaults.intervalUs(), 50, HOUR_MS),
                probe.number("jitter", defaults.jitter(), 0, 0.9), probe.durationUs("timeout", defaults.timeoutUs(), 10, MINUTE_MS),
                probe.integer("rise", defaults.rise(), 1, 1000), probe.integer("fall", defaults.fall(), 1, 1000),
                probe.integer("at-once", defaults.maxConcurrentProbes(), 1, 256), probe.number("panic", defaults.panicShare(), 0, 1),
                probe.bool("slow-start", defaults.slowStart()), eject.integer("failures", defaults.ejectAfterFailures(), 0, 1000),
                eject.durationUs("time", defaults.ejectUs(), 100, HOUR_MS), eject.durationUs("most", defaults.maxEjectUs(), 100, HOUR_MS),
                eject.number("share", defaults.maxEjectedShare(), 0, 1));
        return settings.probesEnabled() || settings.ejectAfterFailures() > 0 ? settings : null;
    }

    private static OperatorSettings.State state(ConfigSection section) {
        String directory = section.string("dir", "", "an absolute path", v -> v.startsWith("/") && v.indexOf('\0') < 0);
        OperatorSettings.State state = new OperatorSettings.State(directory.isEmpty() ? null : Path.of(directory),
                section.durationUs("every", 1_000_000, 100, HOUR_MS), section.integer("keep", 2, 2, 10));
        return directory.isEmpty() ? null : state;
    }

    private static OperatorSettings.Probe probe(ConfigSection section) {
        return new OperatorSettings.Probe(section.string("path", OperatorSettings.NONE.probe().path(), "a path of visible ASCII that begins with /",
                v -> v.matches("/[!-~]{0,200}")));
    }

    /** Returns the keys in which {@code to} differs from {@code from} and that a running process cannot change. */
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
