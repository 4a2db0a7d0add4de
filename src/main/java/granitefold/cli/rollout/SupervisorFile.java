package granitefold.cli.rollout;

import granitefold.operator.InvalidFileException;
import granitefold.operator.HoconFile;
import granitefold.operator.ConfigSection;
import granitefold.rollout.Version;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** Settings of a supervisor, read from the file that is given to {@code granitefold keep}. */
record SupervisorFile(String name, InetSocketAddress listen, Path folder, Path config, boolean overlap, long readyTimeoutUs,
        List<String> java, Version initialVersion) {
    private static final long MINUTE_MS = 60_000;
    private static final List<String> JAVA = List.of("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx88m", "-Xss512k",
            "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true");

    static SupervisorFile read(Path file) throws InvalidFileException {
        return HoconFile.read(file, SupervisorFile::read).value();
    }

    private static SupervisorFile read(ConfigSection root) {
        ConfigSection versionSection = root.section("version");
        List<String> java = root.strings("java", "words of a command line", t -> !t.isEmpty());
        SupervisorFile settings = new SupervisorFile(root.string("name", "", "a name of letters, digits and -", t -> t.matches("[0-9A-Za-z-]{1,64}")),
                root.address("listen"),
                path(root, "folder"), path(root, "config"), root.bool("beside", true),
                root.durationUs("ready-within", 20_000_000, 100, 10 * MINUTE_MS),
                java.isEmpty() ? JAVA : java, version(versionSection));
        for (String key : List.of("name", "listen", "folder", "config")) {
            if (!root.has(key)) {
                root.reject(key, "is required");
            }
        }
        versionSection.reportUnknownKeys();
        root.reportUnknownKeys();
        return settings;
    }

    private static Path path(ConfigSection root, String key) {
        return Path.of(root.string(key, "/", "an absolute path", SupervisorFile::absolute));
    }

    static boolean absolute(String path) {
        return path.startsWith("/") && path.indexOf('\0') < 0;
    }

    /** Reads a version; supervisor settings and rollout plans use the same keys. */
    static Version version(ConfigSection versionSection) {
        String allowed = "an absolute path";
        Version found = new Version(
                versionSection.string("label", "", "a label of printable characters", t -> t.matches("[!-~]{1,64}")),
                versionSection.string("jar", "", allowed, SupervisorFile::absolute),
                versionSection.string("operator", "", allowed, SupervisorFile::absolute),
                versionSection.string("config", "", allowed, SupervisorFile::absolute));
        for (String key : List.of("label", "jar")) {
            if (!versionSection.has(key)) {
                versionSection.reject(key, "is required");
            }
        }
        return found;
    }
}
