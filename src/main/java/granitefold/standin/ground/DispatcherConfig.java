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

    private DispatcherConfig() { }

    /** Returns the configuration without addresses; those are set by {@link TestBed} and {@link DispatcherUnderTest}. */
    static ObjectNode of(Scenario s, String name, int number, long seed) {
        ObjectNode c = JSON.createObjectNode();
        c.put("name", name).put("seed", String.format("%016x", seed));
        c.putObject("limits").put("cores", 1.0).put("memory_mb", s.dispatchers().memoryMb()).put("sockets", s.dispatchers().sockets());
        ObjectNode set = c.putObject("settings");
        ArrayNode classes = set.putArray("classes");
        ObjectNode family = set.putObject("familyInfo").put("tellsStart", true);
        ArrayNode stretches = family.putArray("classStretch");
        s.classes().forEach((key, j) -> {
            classes.addObject().put("name", key).put("effect", switch (j.effect()) {
                case SAFE -> "retryable";
                case KEYED -> "dedup";
                case UNSAFE -> "fragile";
            }).put("group", "all").put("dedupWindowMs", j.effect() == RuleTerms.Effect.KEYED ? j.keyWindowUs() / 1000 : 0)
                    .put("onTimeMs", j.onTimeUs() / 1000).put("deadlineMs", j.deadlineUs() / 1000).put("points", j.value());
            stretches.add(j.stretch());
        });
        ArrayNode tenants = set.putArray("tenants");
        s.tenants().forEach((key, t) -> tenants.addObject().put("name", key).put("fraction", t.share())
                .put("quotaPerS", t.share() * s.capacityPerS()));
        set.putArray("failureDomains").add("sala");
        set.putArray("hostTypes").add("m");
        set.put("me", number).put("siblings", s.dispatchers().count()).put("tickMs", TICK_MS);
        set.putObject("rules").put("drainGraceMs", Scenario.DRAIN_GRACE_MS).put("graceToAnswerMs", ANSWER_GRACE_MS)
                .put("coldFrom", s.workers().spec().slowStartFrom()).put("coldMs", s.workers().spec().slowStartUs() / 1000)
                .put("tipMultiple", s.workers().spec().overloadMultiple()).put("fallMs", s.workers().spec().overloadWindowUs() / 1000);
        set.putObject("limits").put("attemptsCap", MAX_ATTEMPTS).put("connectTimeoutMs", CONNECT_TIMEOUT_MS).put("idleCloseMs", IDLE_TIMEOUT_MS)
                .put("cancelling", true).put("peers", s.dispatchers().gossip()).put("maxRetryAfterMs", RETRY_AFTER_MS);
        return c;
    }

    static ArrayNode addresses(List<String> all) {
        ArrayNode a = JSON.createArrayNode();
        all.forEach(a::add);
        return a;
    }
}
