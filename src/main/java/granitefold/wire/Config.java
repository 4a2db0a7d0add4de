package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.core.WorkerList;
import granitefold.state.StateIndexMapping;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a dispatcher is told at its start. {@code siblingAddress} is null where there are no datagrams, {@code ops} where
 * nobody asks how the process stands.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
        InetSocketAddress siblingAddress, List<InetSocketAddress> siblings, WorkerList initialWorkers, NamedSettings namedSettings,
        long connectTimeoutUs, long idleCloseUs, double cores,
        boolean probingAllowed, InetSocketAddress ops) {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int SOCKETS_UNTOLD = 1024;
    /** The second address, where the file does not name it. */
    private static final String OPS = "LB_OPS";

    /** What places in the settings stand for, for a state file. */
    public StateIndexMapping settingsIndexes() {
        return new StateIndexMapping(name, namedSettings.key(), namedSettings.settings().selfIndex(), namedSettings.settings().siblings(),
                NamedSettings.names(namedSettings.tenants()), NamedSettings.names(namedSettings.hostTypes()));
    }

    /** The settings that hold, as {@code granitefold check} prints them. */
    public Map<String, String> effective() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("name", name);
        all.put("listen", Address.text(listen));
        all.put("ops", ops == null ? "off" : Address.text(ops));
        all.put("discovery", Address.text(discovery));
        all.put("limits.sockets", Integer.toString(sockets));
        all.put("limits.cores", Double.toString(cores));
        all.put("peer_listen", siblingAddress == null ? "off" : Address.text(siblingAddress));
        all.put("peers", siblings.stream().map(Address::text).toList().toString());
        all.put("known", "version " + initialWorkers.version() + ", " + initialWorkers.entries().size() + " workers");
        all.put("settings", "key " + namedSettings.key());
        all.put("settings.classes", namedSettings.classes().keySet().stream().sorted().toList().toString());
        all.put("settings.tenants", namedSettings.tenants().keySet().stream().sorted().toList().toString());
        all.put("settings.limits.connectTimeoutMs", Long.toString(connectTimeoutUs / 1000));
        all.put("settings.limits.idleCloseMs", Long.toString(idleCloseUs / 1000));
        all.put("settings.limits.probing", Boolean.toString(probingAllowed));
        return all;
    }

    /** Reads the file; whatever is wrong with it is told in one line, with file, line and key, by {@link InvalidInputException}. */
    public static Config read(Path file) {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e);
        }
        // two passes: the list is read with the names in the settings, which may come later in the file
        NamedSettings namedSettings = null;
        SettingsReader setup = null;
        JsonParser p = parser(text, file);
        try (p) {
            for (String key = first(p); key != null; key = next(p)) {
                if (key.equals("settings")) {
                    setup = new SettingsReader(p);
                    namedSettings = setup.namedSettings();
                } else {
                    p.skipChildren();
                }
            }
        } catch (IOException | InvalidInputException e) {
            throw at(file, p, e);
        }
        if (namedSettings == null || namedSettings.classes().isEmpty()) {
            throw new InvalidInputException(file + ": settings: there are no classes");
        }
        JsonParser again = parser(text, file);
        try (again) {
            return read(again, namedSettings, setup);
        } catch (IOException | InvalidInputException e) {
            throw at(file, again, e);
        }
    }

    private static JsonParser parser(byte[] text, Path file) {
        try {
            return JSON.createParser(text);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": is not JSON");
        }
    }

    /** The problem in one line, with the place that reading had come to. */
    private static InvalidInputException at(Path file, JsonParser p, Exception e) {
        StringBuilder key = new StringBuilder();
        for (JsonStreamContext c = p.getParsingContext(); c != null; c = c.getParent()) {
            if (c.getCurrentName() != null) {
                key.insert(0, c.getCurrentName() + (key.isEmpty() ? "" : "."));
            }
        }
        String what = e instanceof InvalidInputException ? e.getMessage() : "not JSON: " + e.getMessage().lines().findFirst().orElse("");
        return new InvalidInputException(file + ":" + p.currentLocation().getLineNr() + ": " + (key.isEmpty() ? "" : key + ": ") + what);
    }

    private static Config read(JsonParser p, NamedSettings namedSettings, SettingsReader setup) throws IOException {
        String name = "";
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        InetSocketAddress siblingAddress = null;
        List<InetSocketAddress> siblings = new ArrayList<>();
        WorkerList initialWorkers = new WorkerList(0, true, List.of());
        long seed = 0;
        int sockets = SOCKETS_UNTOLD;
        double cores = 1;
        InetSocketAddress ops = System.getenv(OPS) == null || System.getenv(OPS).isEmpty() ? null : ops(System.getenv(OPS));
        for (String key = first(p); key != null; key = next(p)) {
            switch (key) {
                case "name" -> name = p.getValueAsString("");
                case "listen" -> listen = Address.of(p.getValueAsString(""));
                case "ops" -> ops = p.currentToken() == JsonToken.VALUE_NULL ? ops : Address.of(p.getValueAsString(""));
                case "discovery" -> discovery = Address.of(p.getValueAsString(""));
                case "seed" -> seed = seed(p.getValueAsString(""));
                case "peer_listen" -> siblingAddress = p.currentToken() == JsonToken.VALUE_NULL ? null
                        : Address.of(p.getValueAsString(""));
                case "peers" -> {
                    while (p.currentToken() != JsonToken.VALUE_NULL && p.nextToken() != JsonToken.END_ARRAY) {
                        siblings.add(Address.of(p.getValueAsString("")));
                    }
                }
                case "limits" -> {
                    while (p.currentToken() != JsonToken.VALUE_NULL && p.nextToken() != JsonToken.END_OBJECT) {
                        String limit = p.currentName();
                        p.nextToken();
                        switch (limit) {
                            case "sockets" -> sockets = p.getValueAsInt(sockets);
                            case "cores" -> cores = p.getValueAsDouble(cores);
                            default -> p.skipChildren();
                        }
                    }
                }
                case "known" -> initialWorkers = p.currentToken() == JsonToken.VALUE_NULL ? initialWorkers : WorkerListJson.read(p, namedSettings);
                default -> p.skipChildren();
            }
        }
        if (listen == null || discovery == null) {
            throw new InvalidInputException("the configuration needs listen and discovery");
        }
        return new Config(name, listen, discovery, seed, sockets, namedSettings.settings().limits().siblingMessages() ? siblingAddress
                : null, List.copyOf(siblings), initialWorkers, namedSettings, setup.connectTimeoutUs(), setup.idleCloseUs(), cores > 0 ? cores : 1,
                setup.probing(), ops);
    }

    private static InetSocketAddress ops(String text) {
        try {
            return Address.of(text);
        } catch (InvalidInputException e) {
            throw new InvalidInputException("$" + OPS + ": " + e.getMessage());
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("the seed is not 16 hex digits");
        }
    }

    private static String first(JsonParser p) throws IOException {
        if (p.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("the configuration is not an object");
        }
        return next(p);
    }

    /** Moves to the next key's value; null at the object's end. */
    private static String next(JsonParser p) throws IOException {
        if (p.nextToken() == JsonToken.END_OBJECT) {
            return null;
        }
        String key = p.currentName();
        p.nextToken();
        return key;
    }
}
