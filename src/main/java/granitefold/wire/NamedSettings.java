package granitefold.wire;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings together with the names that messages use for entries that the dispatcher knows by their index.
 * {@code key} identifies these settings: state learned under another key is not used.
 */
public record NamedSettings(Map<String, Integer> classes, Map<String, Integer> tenants, Map<String, Integer> zones,
        Map<String, Integer> hostTypes, Settings settings, String key) {

    /** Maps each name to its index; of equal names, the first counts. */
    static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(n -> indexes.putIfAbsent(n, indexes.size()));
        return Map.copyOf(indexes);
    }

    /** Returns the names in the order of their indexes. */
    static List<String> names(Map<String, Integer> indexes) {
        return indexes.entrySet().stream().sorted(Map.Entry.comparingByValue()).map(Map.Entry::getKey).toList();
    }

    /** Returns the names of the job classes in the order of the settings. */
    public List<String> classNames() {
        return names(classes);
    }

    /** Returns whether jobs of a class need an idempotency key. */
    boolean keyed(int jobClass) {
        return settings.classes().get(jobClass).effect() == Effect.KEYED;
    }
}
