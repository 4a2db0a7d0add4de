package granitefold.standin.ground;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.standin.history.RuleTerms;
import java.util.List;

/** Builds a dispatcher's configuration in the JSON form of the platform. */
final class DispatcherConfig {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int TICK_MS = 5, ANSWER_GRACE_MS = 20, CONNECT_TIMEOUT_MS = 300, IDLE_TIMEOUT_MS = 15_000, RETRY_AFTER_MS = 2000,
            MAX_ATTEMPTS = 4;

    /** As in deploy/serve.sh. */
    private static final int MIN_HEAP_MB = 16, MAX_HEAP_MB = 88, OTHER_MEMORY_MB = 64;

    private DispatcherConfig() { }

    /** Returns the configuration without addresses; those are set by {@link TestBed} and {@link DispatcherUnderTest}. */
    static ObjectNode of(Scenario scenario, String name, int number, long seed) {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", name).put("seed", String.format("%016x", seed));
        config.putObject("limits").put("cores", 1.0).put("memory_mb", scenario.dispatchers().memoryMb())
                .put("sockets", scenario.dispatchers().sockets());
        ObjectNode settings = config.putObject("settings");
        ArrayNode classes = settings.putArray("classes");
        ObjectNode family = settings.putObject("familyInfo").put("tellsStart", true);
        ArrayNode stretches = family.putArray("classStretch");
        scenario.classes().forEach((key, jobClass) -> {
            classes.addObject().put("name", key).put("effect", switch (jobClass.effect()) {
                case SAFE -> "retryable";
                case KEYED -> "dedup";
                case UNSAFE -> "fragile";
            }).put("group", "all").put("dedupWindowMs", jobClass.effect() == RuleTerms.Effect.KEYED ? jobClass.keyWindowUs() / 1000 : 0)
                    .put("onTimeMs", jobClass.onTimeUs() / 1000).put("deadlineMs", jobClass.deadlineUs() / 1000).put("points", jobClass.value());
            stretches.add(jobClass.stretch());
        });
        ArrayNode tenants = settings.putArray("tenants");
        scenario.tenants().forEach((key, tenant) -> tenants.addObject().put("name", key).put("fraction", tenant.share())
                .put("quotaPerS", tenant.share() * scenario.capacityPerS()));
        settings.putArray("failureDomains").add("sala");
        settings.putArray("hostTypes").add("m");
        settings.put("me", number).put("siblings", scenario.dispatchers().count()).put("tickMs", TICK_MS);
        settings.putObject("rules").put("drainGraceMs", Scenario.DRAIN_GRACE_MS).put("graceToAnswerMs", ANSWER_GRACE_MS)
                .put("coldFrom", scenario.workers().spec().slowStartFrom()).put("coldMs", scenario.workers().spec().slowStartUs() / 1000)
                .put("tipMultiple", scenario.workers().spec().overloadMultiple()).put("fallMs", scenario.workers().spec().overloadWindowUs() / 1000);
        settings.putObject("limits").put("attemptsCap", MAX_ATTEMPTS).put("connectTimeoutMs", CONNECT_TIMEOUT_MS).put("idleCloseMs", IDLE_TIMEOUT_MS)
                .put("cancelling", true).put("peers", scenario.dispatchers().gossip()).put("maxRetryAfterMs", RETRY_AFTER_MS);
        return config;
    }

    /** Returns the heap that deploy/serve.sh gives a process with this configuration, in MB. */
    static int heapMb(ObjectNode config) {
        return Math.max(MIN_HEAP_MB, Math.min(MAX_HEAP_MB, config.path("limits").path("memory_mb").asInt() - OTHER_MEMORY_MB));
    }

    static ArrayNode addresses(List<String> all) {
        ArrayNode a = JSON.createArrayNode();
        all.forEach(a::add);
        return a;
    }
}
