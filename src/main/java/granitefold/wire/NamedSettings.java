package granitefold.wire;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that messages use for what the module knows by its place in the settings. {@code key} stands for these settings: what
 * was learned under another is not used.
 */
public record NamedSettings(Map<String, Integer> classes, Map<String, Integer> tenants, Map<String, Integer> zones,
        Map<String, Integer> hostTypes, Settings settings, String key) {

    static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(n -> indexes.putIfAbsent(n, indexes.size()));
        return Map.copyOf(indexes);
    }

    /** The names in the order of their indexes. */
    static List<String> names(Map<String, Integer> indexes) {
        return indexes.entrySet().stream().sorted(Map.Entry.comparingByValue()).map(Map.Entry::getKey).toList();
    }

    /** The classes' names in the order of the settings. */
    public List<String> classNames() {
        return names(classes);
    }

    boolean keyed(int jobClass) {
        return settings.classes().get(jobClass).effect() == Effect.KEYED;
    }
}
