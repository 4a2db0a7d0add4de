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
    private static final int NEAR = 4;

    private final String path;
    private final Config here;
    private final Notes notes;
    private final Set<String> known = new TreeSet<>();

    /** What reading has found: problems by line, and the values that hold. */
    static final class Notes {
        final String file;
        final Map<String, String> effective = new TreeMap<>();
        private final TreeMap<Integer, List<String>> problems = new TreeMap<>();

        Notes(String file) {
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

    ConfigSection(String path, Config here, Notes notes) {
        this.path = path;
        this.here = here;
        this.notes = notes;
    }

    /** The section below a key; without it one that has no keys. */
    public ConfigSection section(String key) {
        known.add(key);
        ConfigValue v = value(key);
        if (v != null && v.valueType() != ConfigValueType.OBJECT) {
            wrong(key, v, "a section: " + key + " { ... }");
            v = null;
        }
        return new ConfigSection(path(key), v == null ? com.typesafe.config.ConfigFactory.empty() : ((ConfigObject) v).toConfig(),
                notes);
    }

    /** The named sections below a key, in the order of the file. */
    public Map<String, ConfigSection> named(String key) {
        ConfigSection all = section(key);
        Map<String, ConfigSection> found = new LinkedHashMap<>();
        all.here.root().entrySet().stream().sorted(java.util.Comparator.comparingInt(e -> e.getValue().origin().lineNumber()))
                .forEach(e -> found.put(e.getKey(), all.section(e.getKey())));
        return found;
    }

    /** The sections of a list. */
    public List<ConfigSection> sections(String key) {
        known.add(key);
        ConfigValue v = value(key);
        List<ConfigSection> found = new ArrayList<>();
        if (v != null && v.valueType() != ConfigValueType.LIST) {
            wrong(key, v, "a list of sections: " + key + " = [ { ... } ]");
        } else if (v != null) {
            for (ConfigValue one : (com.typesafe.config.ConfigList) v) {
                String at = path(key) + "[" + found.size() + "]";
                if (one.valueType() == ConfigValueType.OBJECT) {
                    found.add(new ConfigSection(at, ((ConfigObject) one).toConfig(), notes));
                } else {
                    notes.add(one.origin().lineNumber(), at + ": " + one.unwrapped() + " is not a section");
                }
            }
        }
        return found;
    }

    /** Notes that a key's value does not do, for a reason that shows only beside others. */
    public void reject(String key, String why) {
        ConfigValue v = value(key);
        notes.add(v == null ? here.root().origin().lineNumber() : v.origin().lineNumber(), path(key) + ": " + why);
    }

    /** Whether a key is there. */
    public boolean has(String key) {
        known.add(key);
        return value(key) != null;
    }

    /** Whether it holds nothing. */
    public boolean isEmpty() {
        return here.isEmpty();
    }

    /** True or false. */
    public boolean bool(String key, boolean absent) {
        return read(key, absent, "true or false", () -> here.getBoolean(key));
    }

    /** A whole number within bounds. */
    public int integer(String key, int absent, int least, int most) {
        return read(key, absent, "a whole number from " + least + " to " + most, () -> {
            double v = here.getDouble(key);
            return v == Math.rint(v) && v >= least && v <= most ? (int) v : null;
        });
    }

    /** A number within bounds. */
    public double number(String key, double absent, double least, double most) {
        return read(key, absent, "a number from " + least + " to " + most, () -> {
            double v = here.getDouble(key);
            return v >= least && v <= most ? v : null;
        });
    }

    /** A time in microseconds, written with its unit. */
    public long durationUs(String key, long absentUs, long leastMs, long mostMs) {
        return read(key, absentUs, "a time from " + leastMs + "ms to " + mostMs + "ms, with its unit", () -> {
            // a bare number would be milliseconds, which nobody can see
            if (here.getValue(key).valueType() != ConfigValueType.STRING) {
                return null;
            }
            long us = here.getDuration(key, TimeUnit.MICROSECONDS);
            return us >= leastMs * 1000 && us <= mostMs * 1000 ? us : null;
        });
    }

    /** A text that a test finds good; {@code allowed} says what that is. */
    public String string(String key, String absent, String allowed, java.util.function.Predicate<String> good) {
        return read(key, absent, allowed, () -> {
            String v = here.getString(key);
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
            List<String> all = here.getStringList(key);
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
            } catch (granitefold.wire.InvalidInputException e) {
                return false;
            }
        });
        return found[0];
    }

    private interface Reading<T> {
        T get();
    }

    private <T> T read(String key, T absent, String allowed, Reading<T> reading) {
        known.add(key);
        ConfigValue v = value(key);
        T found = null;
        if (v != null) {
            try {
                found = reading.get();
            } catch (ConfigException e) {
                // told below
            }
            if (found == null) {
                wrong(key, v, allowed);
            }
        }
        T holds = found == null ? absent : found;
        notes.effective.put(path(key), String.valueOf(holds));
        return holds;
    }

    private void wrong(String key, ConfigValue v, String allowed) {
        notes.add(v.origin().lineNumber(), path(key) + ": " + v.unwrapped() + " is not allowed; allowed is " + allowed);
    }

    private ConfigValue value(String key) {
        // a key may hold dots only in quotes, which none of ours needs
        return here.root().get(key);
    }

    private String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Names what is there and unknown, each with the known key that it is most like. */
    public void reportUnknownKeys() {
        for (Map.Entry<String, ConfigValue> e : here.root().entrySet()) {
            if (!known.contains(e.getKey())) {
                LevenshteinDistance distance = new LevenshteinDistance();
                String near = known.stream().min(java.util.Comparator.comparing(k -> distance.apply(k, e.getKey())))
                        .filter(k -> distance.apply(k, e.getKey()) <= NEAR).orElse(null);
                notes.add(e.getValue().origin().lineNumber(), path(e.getKey()) + ": unknown key"
                        + (near == null ? "; known are " + String.join(", ", known) : "; did you mean " + path(near) + "?"));
            }
        }
    }
}
