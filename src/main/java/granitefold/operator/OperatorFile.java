package granitefold.operator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigIncluder;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import granitefold.availability.AvailabilitySettings;
import granitefold.health.HealthSettings;
import granitefold.operator.Operator.Bounds;
import granitefold.wire.BadWire;
import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the operator's file. */
public final class OperatorFile {
    /** A longer file is a mistake. */
    private static final long LENGTH_MOST = 256 * 1024;
    /** Brackets nested deeper than this are one too, and would use up the parser's stack. */
    private static final int DEPTH_MOST = 32;
    private static final long MINUTE_MS = 60_000, HOUR_MS = 3_600_000;

    /** A file that was read: the settings, and every key with the value that holds. */
    public record Read(Operator operator, Map<String, String> effective) { }

    /** All problems of a file, each with file, line and key. */
    public static final class Broken extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> problems;

        Broken(List<String> problems) {
            super(String.join("; ", problems));
            this.problems = problems;
        }

        public List<String> problems() {
            return problems;
        }
    }

    private OperatorFile() { }

    /** Reads and checks a file. */
    public static Read read(Path file) throws Broken {
        try {
            if (Files.size(file) > LENGTH_MOST) {
                throw new Broken(List.of(file + ": longer than " + LENGTH_MOST + " bytes"));
            }
            return read(file.toString(), Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new Broken(List.of(file + ": is not UTF-8"));
        } catch (IOException e) {
            throw new Broken(List.of(file + ": cannot be read: " + e));
        }
    }

    /** Reads and checks a text; {@code name} is what its problems are told by. */
    public static Read read(String name, String text) throws Broken {
        Section.Notes notes = new Section.Notes(name);
        Operator operator = null;
        try {
            if (deep(text)) {
                throw new Broken(List.of(name + ": nested deeper than " + DEPTH_MOST));
            }
            // an include would read other files, or addresses, that nobody has checked
            Config all = ConfigFactory.parseString(text, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF)
                    .setOriginDescription(name).setIncluder(new NoIncludes()));
            if (!all.isResolved()) {
                // a few lines of them can stand for a text that fills the memory
                throw new Broken(List.of(name + ": ${...} is not taken: each key has its own value"));
            }
            operator = read(new Section("", all, notes));
        } catch (ConfigException | BadWire e) {
            ConfigException c = e instanceof ConfigException ce ? ce : null;
            notes.add(c == null || c.origin() == null ? 0 : c.origin().lineNumber(), plain(e.getMessage(), name));
        }
        if (!notes.problems().isEmpty()) {
            throw new Broken(notes.problems());
        }
        return new Read(operator, notes.effective);
    }

    private static final class NoIncludes implements ConfigIncluder {
        @Override
        public ConfigIncluder withFallback(ConfigIncluder fallback) {
            return this;
        }

        @Override
        public com.typesafe.config.ConfigObject include(com.typesafe.config.ConfigIncludeContext context, String what) {
            throw new BadWire("include: " + what + ": one file holds all settings");
        }
    }

    private static boolean deep(String text) {
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
            if (depth > DEPTH_MOST) {
                return true;
            }
        }
        return false;
    }

    /** The library's words, without the place, which is told before them. */
    private static String plain(String message, String name) {
        String text = message.lines().findFirst().orElse("").strip();
        int at = text.indexOf(name + ": ");
        text = at < 0 ? text : text.substring(at + name.length() + 2);
        return text.replaceFirst("^\\d+: ", "");
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
        Operator operator = new Operator(new Operator.Log(log.word("format", "text", "text", "json").equals("json")),
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
            } catch (BadWire e) {
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
                s.whole("stale-tries", d.staleTries(), 1, 1_000_000), s.whole("slow-start-from", d.slowFrom(), 1, 100),
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
        if (!from.log().equals(to.log())) {
            keys.add("log.format");
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
