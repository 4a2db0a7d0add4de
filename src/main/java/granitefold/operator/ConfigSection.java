package granitefold.operator;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueType;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * One section of the file. Each key is asked for once, with what is allowed and what holds without it; what is wrong
 * is noted and reading goes on. At the end a key that nobody asked for is a problem too.
 */
public final class ConfigSection {
    /** A word this far from a known key, or nearer, is taken for a slip of the pen. */
    private static final int MAX_TYPO_DISTANCE = 4;

    private final String path;
    private final Config config;
    private final Diagnostics diagnostics;
    private final Set<String> knownKeys = new TreeSet<>();

    /** What reading has found: problems by line, and the values that hold. */
    static final class Diagnostics {
        final String file;
        final Map<String, String> effective = new TreeMap<>();
        private final TreeMap<Integer, List<String>> problems = new TreeMap<>();

        Diagnostics(String file) {
            this.file = file;
        }

        void add(int line, String text) {
            problems.computeIfAbsent(line, l -> new ArrayList<>()).add(file + ":" + (line < 1 ? "" : line + ":") + " "
                    + text);
        }

        List<String> problems() {
            return problems.values().stream().flatMap(List::stream).toList();
        }
    }

    ConfigSection(String path, Config here, Diagnostics notes) {
        this.path = path;
        this.config = here;
        this.diagnostics = notes;
    }

    /** The section below a key; without it one that has no keys. */
    public ConfigSection section(String key) {
        knownKeys.add(key);
        ConfigValue v = rawValue(key);
        if (v != null && v.valueType() != ConfigValueType.OBJECT) {
            addInvalidValue(key, v, "a section: " + key + " { ... }");
            v = null;
        }
        return new ConfigSection(path(key), v == null ? com.typesafe.config.ConfigFactory.empty() : ((ConfigObject) v).toConfig(),
                diagnostics);
    }

    /** The named sections below a key, in the order of the file. */
    public Map<String, ConfigSection> named(String key) {
        ConfigSection all = section(key);
        Map<String, ConfigSection> found = new LinkedHashMap<>();
        all.config.root().entrySet().stream().sorted(java.util.Comparator.comparingInt(e -> e.getValue().origin().lineNumber()))
                .forEach(e -> found.put(e.getKey(), all.section(e.getKey())));
        return found;
    }

    /** The sections of a list. */
    public List<ConfigSection> sections(String key) {
        knownKeys.add(key);
        ConfigValue v = rawValue(key);
        List<ConfigSection> found = new ArrayList<>();
        if (v != null && v.valueType() != ConfigValueType.LIST) {
            addInvalidValue(key, v, "a list of sections: " + key + " = [ { ... } ]");
        } else if (v != null) {
            for (ConfigValue one : (com.typesafe.config.ConfigList) v) {
                String at = path(key) + "[" + found.size() + "]";
                if (one.valueType() == ConfigValueType.OBJECT) {
                    found.add(new ConfigSection(at, ((ConfigObject) one).toConfig(), diagnostics));
                } else {
                    diagnostics.add(one.origin().lineNumber(), at + ": " + one.unwrapped() + " is not a section");
                }
            }
        }
        return found;
    }

    /** Notes that a key's value does not do, for a reason that shows only beside others. */
    public void reject(String key, String why) {
        ConfigValue v = rawValue(key);
        diagnostics.add(v == null ? config.root().origin().lineNumber() : v.origin().lineNumber(), path(key) + ": " + why);
    }

    /** Whether a key is there. */
    public boolean has(String key) {
        knownKeys.add(key);
        return rawValue(key) != null;
    }

    /** Whether it holds nothing. */
    public boolean isEmpty() {
        return config.isEmpty();
    }

    /** True or false. */
    public boolean bool(String key, boolean absent) {
        return read(key, absent, "true or false", () -> config.getBoolean(key));
    }

    /** A whole number within bounds. */
    public int integer(String key, int absent, int least, int most) {
        return read(key, absent, "a whole number from " + least + " to " + most, () -> {
            double v = config.getDouble(key);
            return v == Math.rint(v) && v >= least && v <= most ? (int) v : null;
        });
    }

    /** A number within bounds. */
    public double number(String key, double absent, double least, double most) {
        return read(key, absent, "a number from " + least + " to " + most, () -> {
            double v = config.getDouble(key);
            return v >= least && v <= most ? v : null;
        });
    }

    /** A time in microseconds, written with its unit. */
    public long durationUs(String key, long absentUs, long leastMs, long mostMs) {
        return read(key, absentUs, "a time from " + leastMs + "ms to " + mostMs + "ms, with its unit", () -> {
            // a bare number would be milliseconds, which nobody can see
            if (config.getValue(key).valueType() != ConfigValueType.STRING) {
                return null;
            }
            long us = config.getDuration(key, TimeUnit.MICROSECONDS);
            return us >= leastMs * 1000 && us <= mostMs * 1000 ? us : null;
        });
    }

    /** A text that a test finds good; {@code allowed} says what that is. */
    public String string(String key, String absent, String allowed, java.util.function.Predicate<String> good) {
        return read(key, absent, allowed, () -> {
            String v = config.getString(key);
            return good.test(v) ? v : null;
        });
    }

    /** One of these words. */
    public String choice(String key, String absent, String... words) {
        return string(key, absent, String.join(" or ", words), List.of(words)::contains);
    }

    /** A list of texts that a test finds good, each. */
    public List<String> strings(String key, String allowed, java.util.function.Predicate<String> good) {
        return read(key, List.of(), allowed, () -> {
            List<String> all = config.getStringList(key);
            return all.stream().allMatch(good) ? all : null;
        });
    }

    /** An address, or null. */
    public InetSocketAddress address(String key) {
        InetSocketAddress[] found = new InetSocketAddress[1];
        string(key, "", "host:port with a literal address, as 127.0.0.1:9701", v -> {
            try {
                found[0] = granitefold.wire.Address.of(v);
                return true;
            } catch (granitefold.wire.BadWire e) {
                return false;
            }
        });
        return found[0];
    }

    private interface ValueReader<T> {
        T get();
    }

    private <T> T read(String key, T absent, String allowed, ValueReader<T> reading) {
        knownKeys.add(key);
        ConfigValue v = rawValue(key);
        T found = null;
        if (v != null) {
            try {
                found = reading.get();
            } catch (ConfigException e) {
                // told below
            }
            if (found == null) {
                addInvalidValue(key, v, allowed);
            }
        }
        T holds = found == null ? absent : found;
        diagnostics.effective.put(path(key), String.valueOf(holds));
        return holds;
    }

    private void addInvalidValue(String key, ConfigValue v, String allowed) {
        diagnostics.add(v.origin().lineNumber(), path(key) + ": " + v.unwrapped() + " is not allowed; allowed is " + allowed);
    }

    private ConfigValue rawValue(String key) {
        // a key may hold dots only in quotes, which none of ours needs
        return config.root().get(key);
    }

    private String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Names what is there and unknown, each with the known key that it is most like. */
    public void reportUnknownKeys() {
        for (Map.Entry<String, ConfigValue> e : config.root().entrySet()) {
            if (!knownKeys.contains(e.getKey())) {
                LevenshteinDistance distance = new LevenshteinDistance();
                String near = knownKeys.stream().min(java.util.Comparator.comparing(k -> distance.apply(k, e.getKey())))
                        .filter(k -> distance.apply(k, e.getKey()) <= MAX_TYPO_DISTANCE).orElse(null);
                diagnostics.add(e.getValue().origin().lineNumber(), path(e.getKey()) + ": unknown key"
                        + (near == null ? "; known are " + String.join(", ", knownKeys) : "; did you mean " + path(near) + "?"));
            }
        }
    }
}
