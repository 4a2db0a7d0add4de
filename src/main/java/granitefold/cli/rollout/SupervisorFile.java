package granitefold.cli.rollout;

import granitefold.operator.InvalidFileException;
import granitefold.operator.HoconFile;
import granitefold.operator.ConfigSection;
import granitefold.rollout.Version;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** A keeper's own settings. */
record SupervisorFile(String name, InetSocketAddress listen, Path folder, Path config, boolean overlap, long readyTimeoutUs, List<String> java, Version first) {
    private static final long MINUTE_MS = 60_000;
    private static final List<String> JAVA = List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx88m", "-Xss512k",
            "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true");

    static SupervisorFile read(Path file) throws InvalidFileException {
        return HoconFile.read(file, SupervisorFile::read).value();
    }

    private static SupervisorFile read(ConfigSection s) {
        ConfigSection v = s.section("version");
        List<String> java = s.strings("java", "words of a command", t -> !t.isEmpty());
        SupervisorFile f = new SupervisorFile(s.string("name", "", "a name of letters, digits and -", t -> t.matches("[0-9A-Za-z-]{1,64}")), s.address("listen"),
                path(s, "folder"), path(s, "config"), s.bool("beside", true), s.durationUs("ready-within", 20_000_000, 100, 10 * MINUTE_MS),
                java.isEmpty() ? JAVA : java, version(v));
        for (String key : List.of("name", "listen", "folder", "config")) {
            if (!s.has(key)) {
                s.reject(key, "is needed");
            }
        }
        v.reportUnknownKeys();
        s.reportUnknownKeys();
        return f;
    }

    private static Path path(ConfigSection s, String key) {
        return Path.of(s.string(key, "/", "an absolute path", SupervisorFile::absolute));
    }

    static boolean absolute(String path) {
        return path.startsWith("/") && path.indexOf('\0') < 0;
    }

    /** A version as both files write it. */
    static Version version(ConfigSection v) {
        String allowed = "an absolute path";
        Version found = new Version(v.string("label", "", "a word for people", t -> t.matches("[!-~]{1,64}")), v.string("jar", "", allowed, SupervisorFile::absolute),
                v.string("operator", "", allowed, SupervisorFile::absolute), v.string("config", "", allowed, SupervisorFile::absolute));
        for (String key : List.of("label", "jar")) {
            if (!v.has(key)) {
                v.reject(key, "is needed");
            }
        }
        return found;
    }
}
