package granitefold.real;

import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Platform settings for tests of the built program. */
final class Samples {
    private Samples() { }

    /** Returns settings with three classes, one of each effect, and these limits in addition to the common ones. */
    static String settings(String limits) {
        return "{\"classes\":[{\"name\":\"ficha\",\"effect\":\"retryable\",\"group\":\"all\",\"onTimeMs\":300,"
                + "\"deadlineMs\":5000,\"points\":1},{\"name\":\"guardar\",\"effect\":\"dedup\",\"group\":\"all\","
                + "\"dedupWindowMs\":12000,\"onTimeMs\":750,\"deadlineMs\":7500,\"points\":2},"
                + "{\"name\":\"once\",\"effect\":\"fragile\",\"onTimeMs\":750,\"deadlineMs\":7500,\"points\":2}],"
                + "\"tenants\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":50}],\"failureDomains\":[\"a\"],"
                + "\"hostTypes\":[\"m\"],\"familyInfo\":{\"tellsStart\":true},\"me\":0,\"siblings\":1,\"tickMs\":5,"
                + "\"rules\":{\"drainGraceMs\":3000,\"graceToAnswerMs\":20,\"coldFrom\":0.3,\"coldMs\":9000,"
                + "\"tipMultiple\":3,\"fallMs\":2000},\"limits\":{\"cancelling\":true,\"peers\":true,\"maxRetryAfterMs\":2000," + limits + "}}";
    }

    /** Returns the entry of a worker in a list of discovery; {@code sinceMs} is its start in Unix time, 0 for long ago. */
    static String endpoint(String name, String status, long sinceMs, String address) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs
                + ",\"zone\":\"a\",\"type\":\"m\"}";
    }

    /** Returns a list of discovery: all workers if {@code whole}, else those that have changed. */
    static String list(long version, boolean whole, Stream<String> endpoints) {
        return endpoints.collect(Collectors.joining(",", "{\"index\":" + version + ",\"snapshot\":" + whole + ",\"endpoints\":[", "]}"));
    }
}
