package review;

import java.util.List;
import java.util.Map;

/** Configurations of small deployments, with figures out of the ranges of their site files. */
final class Sites {
    private Sites() { }

    static Map<String, Object> config(String name, int port, String discovery, int memoryMb, int sockets, Map<String, Object> known,
            Map<String, Object> settings) {
        return Lab.map("name", name, "listen", "127.0.0.1:" + port, "discovery", discovery, "seed", "8c1f30d27a5be964",
                "limits", Lab.map("cores", 1.0, "memory_mb", memoryMb, "sockets", sockets), "peers", List.of(), "known", known,
                "settings", settings);
    }

    private static Map<String, Object> jobClass(String name, String effect, int windowMs, int onTimeMs, int deadlineMs, int points) {
        return Lab.map("name", name, "effect", effect, "group", "all", "dedupWindowMs", windowMs, "onTimeMs", onTimeMs,
                "deadlineMs", deadlineMs, "points", points, "lateWorth", 0.0, "streaming", false);
    }

    /** Changes one entry of a nested map. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> with(Map<String, Object> settings, String group, String key, Object value) {
        ((Map<String, Object>) settings.get(group)).put(key, value);
        return settings;
    }

    /** The classes, limits and rules of lima-tiles; datagrams between dispatchers are left out, which the settings may. */
    static Map<String, Object> lima(int me, int siblings) {
        return Lab.map(
                "classes", List.of(jobClass("tile-read", "retryable", 5000, 150, 5000, 1),
                        jobClass("tile-render", "retryable", 5000, 400, 15000, 2),
                        jobClass("order-mark", "fragile", 5000, 100, 5000, 2),
                        jobClass("scene-buy", "fragile", 5000, 750, 10000, 8)),
                "tenants", List.of(Lab.map("name", "agro-costa", "fraction", 0.6, "quotaPerS", 40.0),
                        Lab.map("name", "minera-sur", "fraction", 0.4, "quotaPerS", 30.0)),
                "failureDomains", List.of("lima-surco"), "hostTypes", List.of("small-fast", "medium"),
                "familyInfo", Lab.map("tellsStart", true, "progressMs", 1000.0, "classStretch", List.of(2.5, 2.0, 2.5, 2.5),
                        "classKind", List.of(-1, -1, -1, -1)),
                "me", me, "siblings", siblings, "zone", 0, "tickMs", 2.0, "membershipMode", "pushed",
                "limits", Lab.map("attemptsCap", 6, "cancelling", true, "connectTimeoutMs", 150.0, "idleCloseMs", 15000.0,
                        "maxRetryAfterMs", 2000.0, "peers", false, "probing", false, "retryAfter", false, "secondCopies", false),
                "rules", Lab.map("drainGraceMs", 2000.0, "graceToAnswerMs", 20.0, "coldFrom", 0.3, "coldMs", 8600.0, "tipMultiple", 4.0,
                        "fallMs", 1500.0, "askWithinMs", 10000.0));
    }

    /** The classes, limits and rules of rosario-centro; datagrams between dispatchers are left out, which the settings may. */
    static Map<String, Object> rosario(int me, int siblings) {
        return Lab.map(
                "classes", List.of(jobClass("ficha", "retryable", 5000, 300, 5000, 1),
                        jobClass("escalar", "retryable", 5000, 500, 12000, 3),
                        jobClass("guardar-cuaderno", "dedup", 12000, 750, 7500, 2)),
                "tenants", List.of(Lab.map("name", "cocina-de-casa", "fraction", 0.64, "quotaPerS", 64.0),
                        Lab.map("name", "dulce-tarde", "fraction", 0.36, "quotaPerS", 36.0)),
                "failureDomains", List.of("sala-rosario"), "hostTypes", List.of("nuevo-5n", "viejo-6n"),
                "familyInfo", Lab.map("tellsStart", true, "progressMs", 0.0, "classStretch", List.of(2.0, 1.75, 1.75),
                        "classKind", List.of(-1, -1, -1)),
                "me", me, "siblings", siblings, "zone", 0, "tickMs", 5.0, "membershipMode", "pushed",
                "limits", Lab.map("attemptsCap", 4, "cancelling", true, "connectTimeoutMs", 120.0, "idleCloseMs", 15000.0,
                        "maxRetryAfterMs", 2000.0, "peers", false, "probing", false, "retryAfter", false, "secondCopies", false),
                "rules", Lab.map("drainGraceMs", 3000.0, "graceToAnswerMs", 20.0, "coldFrom", 0.31, "coldMs", 9000.0, "tipMultiple", 3.0,
                        "fallMs", 2000.0, "askWithinMs", 10000.0));
    }
}
