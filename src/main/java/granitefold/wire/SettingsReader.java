package granitefold.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.JobClass;
import granitefold.Dispatcher.Limits;
import granitefold.Dispatcher.Prices;
import granitefold.Dispatcher.Rules;
import granitefold.Dispatcher.Settings;
import granitefold.Dispatcher.Tenant;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the settings object. It is first flattened into paths ("rules.coldMs", "classes.0.effect"), because its keys come
 * in any order and unknown ones must be skipped. This is cheap enough for settings, which are read once per process.
 */
public final class SettingsReader {
    private static final List<String> HASHED_PREFIXES = List.of("classes.", "tenants.", "rules.", "familyInfo.", "hostTypes.",
            "failureDomains.");
    private static final int KEY_BYTES = 8;

    private final Map<String, String> values = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();

    public SettingsReader(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("setup is not an object");
        }
        flatten(parser, "");
    }

    /** Stores all values below a path, and the size of each array. */
    private void flatten(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path.isEmpty() ? name : path + "." + name);
                }
            }
            case START_ARRAY -> {
                int i = 0;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    flatten(parser, path + "." + i++);
                }
                sizes.put(path, i);
            }
            case VALUE_NULL -> { }
            default -> values.put(path, parser.getText());
        }
    }

    private double number(String path, double fallback) {
        String raw = values.get(path);
        try {
            return raw == null ? fallback : Double.parseDouble(raw);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("setup." + path + " is not a number");
        }
    }

    private int integer(String path, int fallback) {
        return (int) number(path, fallback);
    }

    private long micros(String path, double fallbackMs) {
        return Math.round(number(path, fallbackMs) * 1000);
    }

    private boolean flag(String path) {
        return "true".equals(values.get(path));
    }

    private String text(String path, String fallback) {
        return values.getOrDefault(path, fallback);
    }

    /** Returns the names of the values in a load report, in their order. */
    public List<String> reportNames() {
        return names("report.names", "");
    }

    /** Returns the settings with the names that messages use. */
    NamedSettings namedSettings() {
        return new NamedSettings(NamedSettings.indexes(names("classes", ".name")), NamedSettings.indexes(names("tenants", ".name")),
                NamedSettings.indexes(names("failureDomains", "")), NamedSettings.indexes(names("hostTypes", "")), settings(), key());
    }

    /**
     * Returns a hash of the settings on which learned state depends, including the order of names. All dispatchers of a
     * deployment have the same key, also after a restart; another deployment has another one.
     */
    private String key() {
        StringBuilder joined = new StringBuilder();
        new TreeMap<>(values).forEach((path, value) -> {
            if (HASHED_PREFIXES.stream().anyMatch(path::startsWith)) {
                joined.append(path).append('=').append(value).append('\n');
            }
        });
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(joined.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, KEY_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    long connectTimeoutUs() {
        return micros("limits.connectTimeoutMs", 1000);
    }

    long idleCloseUs() {
        return micros("limits.idleCloseMs", 10_000);
    }

    /** Returns whether workers may be probed. */
    boolean probing() {
        return flag("limits.probing");
    }

    private List<String> names(String list, String field) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault(list, 0); i++) {
            names.add(text(list + "." + i + field, ""));
        }
        return names;
    }

    /** Returns the settings, with defaults for missing keys. */
    public Settings settings() {
        List<JobClass> classes = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault("classes", 0); i++) {
            String prefix = "classes." + i + ".";
            Effect effect = WireCodes.effect(text(prefix + "effect", "fragile"));
            Group group = WireCodes.group(text(prefix + "group", "all"));
            double stretch = number("familyInfo.classStretch." + i, number(prefix + "aimStretch", 0));
            classes.add(new JobClass(effect, group, micros(prefix + "dedupWindowMs", 0), micros(prefix + "onTimeMs", 0),
                    micros(prefix + "deadlineMs", 0), stretch, integer("familyInfo.classKind." + i, -1),
                    number(prefix + "points", 1), number(prefix + "lateWorth", 0)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault("tenants", 0); i++) {
            tenants.add(new Tenant(number("tenants." + i + ".fraction", 0),
                    number("tenants." + i + ".quotaPerS", 0)));
        }
        Limits limits = new Limits(integer("limits.attemptsCap", 1), flag("limits.secondCopies"),
                flag("limits.cancelling"), flag("limits.peers"), flag("limits.retryAfter"),
                micros("limits.maxRetryAfterMs", 0));
        Rules rules = new Rules(micros("rules.drainGraceMs", 0), micros("rules.graceToAnswerMs", 0),
                number("rules.coldFrom", 0), micros("rules.coldMs", 0), number("rules.tipMultiple", 1),
                micros("rules.fallMs", 1000), micros("rules.askWithinMs", 10000));
        if (integer("me", 0) < 0 || integer("me", 0) >= integer("siblings", 1)) {
            throw new InvalidInputException("setup.me is not a number below setup.siblings");
        }
        return new Settings(List.copyOf(classes), List.copyOf(tenants), integer("me", 0), integer("siblings", 1),
                integer("zone", 0), "on_request".equals(text("membershipMode", "")), flag("familyInfo.tellsStart"),
                micros("familyInfo.progressMs", 0), micros("tickMs", 1), limits, rules,
                new Prices(number("prices.crossZone", 0), number("prices.handshake", 0),
                        micros("limits.idleCloseMs", 0)));
    }
}
