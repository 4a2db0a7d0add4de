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
 * One section of a file. Each key is read once, with its allowed values and its default. An invalid value is recorded as a
 * problem and reading goes on. At the end, keys that were never read are reported as unknown.
 */
public final class ConfigSection {
    /** Largest edit distance at which an unknown key is taken for a misspelled known key. */
    private static final int MAX_TYPO_DISTANCE = 4;

    private final String path;
    private final Config config;
    private final Diagnostics diagnostics;
    private final Set<String> knownKeys = new TreeSet<>();

    /** Findings while a file is read: problems by line, and the effective values. */
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

    ConfigSection(String path, Config config, Diagnostics diagnostics) {
        this.path = path;
        this.config = config;
        this.diagnostics = diagnostics;
    }

    /** Returns the section under a key, or an empty one if the key is missing. */
    public ConfigSection section(String key) {
        knownKeys.add(key);
        ConfigValue found = rawValue(key);
        if (found != null && found.valueType() != ConfigValueType.OBJECT) {
            addInvalidValue(key, found, "a section: " + key + " { ... }");
            found = null;
        }
        return new ConfigSection(path(key), found == null ? com.typesafe.config.ConfigFactory.empty() : ((ConfigObject) found).toConfig(),
                diagnostics);
    }

    /** Returns the sections under a key by their names, in the order of the file. */
    public Map<String, ConfigSection> named(String key) {
        ConfigSection all = section(key);
        Map<String, ConfigSection> found = new LinkedHashMap<>();
        all.config.root().entrySet().stream().sorted(java.util.Comparator.comparingInt(e -> e.getValue().origin().lineNumber()))
                .forEach(e -> found.put(e.getKey(), all.section(e.getKey())));
        return found;
    }

    /** Returns the sections in the list under a key. */
    public List<ConfigSection> sections(String key) {
        knownKeys.add(key);
        ConfigValue list = rawValue(key);
        List<ConfigSection> sections = new ArrayList<>();
        if (list != null && list.valueType() != ConfigValueType.LIST) {
            addInvalidValue(key, list, "a list of sections: " + key + " = [ { ... } ]");
        } else if (list != null) {
            for (ConfigValue element : (com.typesafe.config.ConfigList) list) {
                String elementPath = path(key) + "[" + sections.size() + "]";
                if (element.valueType() == ConfigValueType.OBJECT) {
                    sections.add(new ConfigSection(elementPath, ((ConfigObject) element).toConfig(), diagnostics));
                } else {
                    diagnostics.add(element.origin().lineNumber(), elementPath + ": " + element.unwrapped() + " is not a section");
                }
            }
        }
        return sections;
    }

    /** Records a problem of a value that is invalid only in combination with other values. */
    public void reject(String key, String reason) {
        ConfigValue found = rawValue(key);
        diagnostics.add(found == null ? config.root().origin().lineNumber() : found.origin().lineNumber(), path(key) + ": " + reason);
    }

    /** Whether a key is present. */
    public boolean has(String key) {
        knownKeys.add(key);
        return rawValue(key) != null;
    }

    /** Whether the section has no keys. */
    public boolean isEmpty() {
        return config.isEmpty();
    }

    /** Reads a boolean. */
    public boolean bool(String key, boolean defaultValue) {
        return read(key, defaultValue, "true or false", () -> config.getBoolean(key));
    }

    /** Reads an integer within bounds. */
    public int integer(String key, int defaultValue, int min, int max) {
        return read(key, defaultValue, "a whole number from " + min + " to " + max, () -> {
            double value = config.getDouble(key);
            return value == Math.rint(value) && value >= min && value <= max ? (int) value : null;
        });
    }

    /** Reads a number within bounds. */
    public double number(String key, double defaultValue, double min, double max) {
        return read(key, defaultValue, "a number from " + min + " to " + max, () -> {
            double value = config.getDouble(key);
            return value >= min && value <= max ? value : null;
        });
    }

    /** Reads a duration in microseconds, which is written with its unit. */
    public long durationUs(String key, long defaultUs, long minMs, long maxMs) {
        return read(key, defaultUs, "a time from " + minMs + "ms to " + maxMs + "ms, with its unit", () -> {
            // A number without a unit would silently mean milliseconds.
            if (config.getValue(key).valueType() != ConfigValueType.STRING) {
                return null;
            }
            long valueUs = config.getDuration(key, TimeUnit.MICROSECONDS);
            return valueUs >= minMs * 1000 && valueUs <= maxMs * 1000 ? valueUs : null;
        });
    }

    /** Reads a string that satisfies a predicate; {@code allowed} describes what it accepts. */
    public String string(String key, String defaultValue, String allowed, java.util.function.Predicate<String> predicate) {
        return read(key, defaultValue, allowed, () -> {
            String value = config.getString(key);
            return predicate.test(value) ? value : null;
        });
    }

    /** Reads one of the given words. */
    public String choice(String key, String defaultValue, String... choices) {
        return string(key, defaultValue, String.join(" or ", choices), List.of(choices)::contains);
    }

    /** Reads a list of strings that all satisfy a predicate. */
    public List<String> strings(String key, String allowed, java.util.function.Predicate<String> predicate) {
        return read(key, List.of(), allowed, () -> {
            List<String> values = config.getStringList(key);
            return values.stream().allMatch(predicate) ? values : null;
        });
    }

    /** Reads an address; null if the key is missing. */
    public InetSocketAddress address(String key) {
        InetSocketAddress[] found = new InetSocketAddress[1];
        string(key, "", "host:port with a literal address, as 127.0.0.1:9701", value -> {
            try {
                found[0] = granitefold.wire.Address.of(value);
                return true;
            } catch (granitefold.wire.InvalidInputException e) {
                return false;
            }
        });
        return found[0];
    }

    private interface ValueReader<T> {
        T get();
    }

    private <T> T read(String key, T defaultValue, String allowed, ValueReader<T> reader) {
        knownKeys.add(key);
        ConfigValue present = rawValue(key);
        T found = null;
        if (present != null) {
            try {
                found = reader.get();
            } catch (ConfigException e) {
                // Reported below.
            }
            if (found == null) {
                addInvalidValue(key, present, allowed);
            }
        }
        T effective = found == null ? defaultValue : found;
        diagnostics.effective.put(path(key), String.valueOf(effective));
        return effective;
    }

    private void addInvalidValue(String key, ConfigValue value, String allowed) {
        diagnostics.add(value.origin().lineNumber(), path(key) + ": " + value.unwrapped() + " is not allowed; allowed is " + allowed);
    }

    private ConfigValue rawValue(String key) {
        // Only a quoted key may contain dots, and no known key does.
        return config.root().get(key);
    }

    private String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Reports the keys that are present but unknown, each with the most similar known key. */
    public void reportUnknownKeys() {
        for (Map.Entry<String, ConfigValue> entry : config.root().entrySet()) {
            if (!knownKeys.contains(entry.getKey())) {
                LevenshteinDistance distance = new LevenshteinDistance();
                String nearest = knownKeys.stream().min(java.util.Comparator.comparing(known -> distance.apply(known, entry.getKey())))
                        .filter(known -> distance.apply(known, entry.getKey()) <= MAX_TYPO_DISTANCE).orElse(null);
                diagnostics.add(entry.getValue().origin().lineNumber(), path(entry.getKey()) + ": unknown key"
                        + (nearest == null ? "; known are " + String.join(", ", knownKeys) : "; did you mean " + path(nearest) + "?"));
            }
        }
    }
}
