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
 * Reads {@code setup}. It is flattened into paths ("rules.coldMs", "classes.0.effect") first: it comes once in an
 * instance's life, its keys come in any order, and unknown ones must be skipped.
 */
public final class SettingsReader {
    private static final List<String> KEYED = List.of("classes.", "tenants.", "rules.", "familyInfo.", "hostTypes.", "failureDomains.");
    private static final int KEY_BYTES = 8;

    private final Map<String, String> values = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();

    public SettingsReader(JsonParser p) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("setup is not an object");
        }
        flatten(p, "");
    }

    private void flatten(JsonParser p, String path) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT -> {
                while (p.nextToken() != JsonToken.END_OBJECT) {
                    String name = p.currentName();
                    p.nextToken();
                    flatten(p, path.isEmpty() ? name : path + "." + name);
                }
            }
            case START_ARRAY -> {
                int i = 0;
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    flatten(p, path + "." + i++);
                }
                sizes.put(path, i);
            }
            case VALUE_NULL -> { }
            default -> values.put(path, p.getText());
        }
    }

    private double number(String path, double fallback) {
        String v = values.get(path);
        try {
            return v == null ? fallback : Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("setup." + path + " is not a number");
        }
    }

    private int whole(String path, int fallback) {
        return (int) number(path, fallback);
    }

    private long micros(String path, double fallbackMs) {
        return Math.round(number(path, fallbackMs) * 1000);
    }

    private boolean yes(String path) {
        return "true".equals(values.get(path));
    }

    private String word(String path, String fallback) {
        return values.getOrDefault(path, fallback);
    }

    /** Names of the values in a load report, in their order. */
    public List<String> reportNames() {
        return names("report.names", "");
    }

    /** The names that messages use on sockets. */
    NamedSettings namedSettings() {
        return new NamedSettings(NamedSettings.indexes(names("classes", ".name")), NamedSettings.indexes(names("tenants", ".name")),
                NamedSettings.indexes(names("failureDomains", "")), NamedSettings.indexes(names("hostTypes", "")), settings(), key());
    }

    /**
     * A key of all that what is learned hangs on, with the places of names: it is the same for all dispatchers of a deployment and
     * all their lives, and another for another one.
     */
    private String key() {
        StringBuilder all = new StringBuilder();
        new TreeMap<>(values).forEach((path, value) -> {
            if (KEYED.stream().anyMatch(path::startsWith)) {
                all.append(path).append('=').append(value).append('\n');
            }
        });
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(all.toString().getBytes(StandardCharsets.UTF_8));
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

    /** Whether workers may be probed. */
    boolean probing() {
        return yes("limits.probing");
    }

    private List<String> names(String list, String field) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault(list, 0); i++) {
            names.add(word(list + "." + i + field, ""));
        }
        return names;
    }

    public Settings settings() {
        List<JobClass> classes = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault("classes", 0); i++) {
            String c = "classes." + i + ".";
            Effect effect = WireCodes.effect(word(c + "effect", "fragile"));
            Group group = WireCodes.group(word(c + "group", "all"));
            double stretch = number("familyInfo.classStretch." + i, number(c + "aimStretch", 0));
            classes.add(new JobClass(effect, group, micros(c + "dedupWindowMs", 0), micros(c + "onTimeMs", 0),
                    micros(c + "deadlineMs", 0), stretch, whole("familyInfo.classKind." + i, -1),
                    number(c + "points", 1), number(c + "lateWorth", 0)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < sizes.getOrDefault("tenants", 0); i++) {
            tenants.add(new Tenant(number("tenants." + i + ".fraction", 0),
                    number("tenants." + i + ".quotaPerS", 0)));
        }
        Limits limits = new Limits(whole("limits.attemptsCap", 1), yes("limits.secondCopies"),
                yes("limits.cancelling"), yes("limits.peers"), yes("limits.retryAfter"),
                micros("limits.maxRetryAfterMs", 0));
        Rules rules = new Rules(micros("rules.drainGraceMs", 0), micros("rules.graceToAnswerMs", 0),
                number("rules.coldFrom", 0), micros("rules.coldMs", 0), number("rules.tipMultiple", 1),
                micros("rules.fallMs", 1000), micros("rules.askWithinMs", 10000));
        if (whole("me", 0) < 0 || whole("me", 0) >= whole("siblings", 1)) {
            throw new InvalidInputException("setup.me is not a number below setup.siblings");
        }
        return new Settings(List.copyOf(classes), List.copyOf(tenants), whole("me", 0), whole("siblings", 1),
                whole("zone", 0), "on_request".equals(word("membershipMode", "")), yes("familyInfo.tellsStart"),
                micros("familyInfo.progressMs", 0), micros("tickMs", 1), limits, rules,
                new Prices(number("prices.crossZone", 0), number("prices.handshake", 0),
                        micros("limits.idleCloseMs", 0)));
    }
}
