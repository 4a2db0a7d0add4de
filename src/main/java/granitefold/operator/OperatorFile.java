package granitefold.operator;

import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.operator.Operator.Bounds;
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
    public record Read(Operator operator, Map<String, String> effective) { }

    private OperatorFile() { }

    /** Reads and checks a file. */
    public static Read read(Path file) throws BrokenFile {
        HoconFile.Read<Operator> read = HoconFile.read(file, OperatorFile::read);
        return new Read(read.value(), read.effective());
    }

    /** Reads and checks a text; {@code name} is what its problems are told by. */
    public static Read read(String name, String text) throws BrokenFile {
        HoconFile.Read<Operator> read = HoconFile.read(name, text, OperatorFile::read);
        return new Read(read.value(), read.effective());
    }

    private static Operator read(Section all) {
        Section log = all.section("log");
        Section checks = all.section("checks");
        Section agent = checks.section("agent");
        Section http = checks.section("http");
        Section control = all.section("control");
        Section clients = all.section("clients");
        Section availability = all.section("availability");
        Section overload = availability.section("overload");
        Section probe = all.section("probe");
        Section eject = all.section("eject");
        Section state = all.section("state");
        Operator operator = new Operator(new Operator.Log(log.word("format", "text", "text", "json").equals("json"), log.yes("requests", false)),
                agent(agent), http(http), control(control), clients(clients), availability(availability, overload),
                health(probe, eject), probe(probe), state(state));
        for (Section s : List.of(log, agent, http, checks, control, clients, overload, availability, probe, eject, state, all)) {
            s.finish();
        }
        return operator;
    }

    private static Bounds bounds(Section s) {
        return new Bounds(s.whole("connections", 64, 1, 4096), s.whole("per-second", 1000, 1, 100_000),
                s.time("timeout", 2_000_000, 50, MINUTE_MS));
    }

    private static Operator.Agent agent(Section s) {
        boolean on = s.has("listen");
        Operator.Agent agent = new Operator.Agent(s.address("listen"), bounds(s),
                s.time("ready-for", 30_000_000, 0, HOUR_MS));
        return on ? agent : null;
    }

    private static Operator.Http http(Section s) {
        boolean on = s.has("listen");
        Operator.Http http = new Operator.Http(s.address("listen"), bounds(s),
                Integer.parseInt(s.word("drain-status", "404", "404", "503")));
        return on ? http : null;
    }

    private static Operator.Control control(Section s) {
        // the kernel's sun_path holds 108 bytes with the end mark, and a name for a moment is longer by a few
        String path = s.text("socket", "", "an absolute path of at most 90 bytes", v -> v.startsWith("/")
                && v.indexOf('\0') < 0 && v.getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 90);
        return path.isEmpty() ? null : new Operator.Control(Path.of(path));
    }

    private static Operator.Clients clients(Section s) {
        String allowed = "a list of literal addresses";
        Set<InetAddress> from = new HashSet<>();
        s.texts("proxy-from", allowed, v -> {
            try {
                from.add(granitefold.wire.Address.of((v.contains(":") ? "[" + v + "]" : v) + ":0").getAddress());
                return true;
            } catch (InvalidInputException e) {
                return false;
            }
        });
        return new Operator.Clients(s.word("proxy-protocol", "off", "off", "required").equals("required"), Set.copyOf(from),
                s.yes("envoy-headers", false), s.yes("load-metrics", false));
    }

    private static AvailabilitySettings availability(Section s, Section overload) {
        AvailabilitySettings d = AvailabilitySettings.DEFAULTS;
        return new AvailabilitySettings(s.time("interval", d.intervalUs(), 10, MINUTE_MS), s.whole("rise", d.rise(), 1, 1000),
                s.whole("fall", d.fall(), 1, 1000), s.time("dwell", d.dwellUs(), 0, HOUR_MS),
                s.whole("step-up", d.stepUp(), 1, 100), s.whole("step-down", d.stepDown(), 1, 100),
                s.whole("floor", d.floor(), 1, 100), s.whole("stale-weight", d.staleWeight(), 1, 99),
                s.whole("stale-tries", d.staleAttempts(), 1, 1_000_000), s.whole("slow-start-from", d.slowFrom(), 1, 100),
                s.time("slow-start", d.slowUs(), 0, HOUR_MS), s.time("silence", d.silenceUs(), 1000, HOUR_MS),
                overload.number("rejects", d.rejects(), 0.01, 1),
                overload.number("full", d.full(), 0.01, 1), overload.number("wait", d.waits(), 0.1, 1000),
                overload.time("lag", d.lagUs(), 1, MINUTE_MS), overload.number("room", d.room(), 0.1, 1),
                overload.number("relief", d.relief(), 0.1, 0.99));
    }

    private static HealthSettings health(Section probe, Section eject) {
        HealthSettings d = HealthSettings.DEFAULTS;
        HealthSettings h = new HealthSettings(probe.yes("allowed", false), probe.time("interval", d.intervalUs(), 50, HOUR_MS),
                probe.number("jitter", d.jitter(), 0, 0.9), probe.time("timeout", d.timeoutUs(), 10, MINUTE_MS),
                probe.whole("rise", d.rise(), 1, 1000), probe.whole("fall", d.fall(), 1, 1000),
                probe.whole("at-once", d.atOnce(), 1, 256), probe.number("panic", d.panic(), 0, 1),
                probe.yes("slow-start", d.slowStart()), eject.whole("failures", d.failures(), 0, 1000),
                eject.time("time", d.ejectUs(), 100, HOUR_MS), eject.time("most", d.ejectMostUs(), 100, HOUR_MS),
                eject.number("share", d.ejectShare(), 0, 1));
        return h.probes() || h.failures() > 0 ? h : null;
    }

    private static Operator.State state(Section s) {
        String dir = s.text("dir", "", "an absolute path", v -> v.startsWith("/") && v.indexOf('\0') < 0);
        Operator.State state = new Operator.State(dir.isEmpty() ? null : Path.of(dir), s.time("every", 1_000_000, 100, HOUR_MS),
                s.whole("keep", 2, 2, 10));
        return dir.isEmpty() ? null : state;
    }

    private static Operator.Probe probe(Section s) {
        return new Operator.Probe(s.text("path", Operator.NONE.probe().path(), "a path of visible ASCII that begins with /",
                v -> v.matches("/[!-~]{0,200}")));
    }

    /** Keys of {@code to} that a running process cannot take over from {@code from}. */
    public static List<String> restartOnly(Operator from, Operator to) {
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
        if (!from.checks() && to.checks()) {
            keys.add("checks");
        }
        return keys;
    }
}
