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
 * The platform's configuration of a dispatcher, read at its start. {@code siblingAddress} is null if the dispatcher does
 * not exchange datagrams with siblings, {@code ops} if there is no operations address.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
        InetSocketAddress siblingAddress, List<InetSocketAddress> siblings, WorkerList initialWorkers, NamedSettings namedSettings,
        long connectTimeoutUs, long idleCloseUs, double cores,
        boolean probingAllowed, InetSocketAddress ops) {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int DEFAULT_SOCKETS = 1024;
    /** Environment variable with the operations address, used if the file does not set it. */
    private static final String OPS_VARIABLE = "LB_OPS";

    /** Returns the names behind the indexes in the settings, which a state file refers to. */
    public StateIndexMapping settingsIndexes() {
        return new StateIndexMapping(name, namedSettings.key(), namedSettings.settings().selfIndex(), namedSettings.settings().siblings(),
                NamedSettings.names(namedSettings.tenants()), NamedSettings.names(namedSettings.hostTypes()));
    }

    /** Returns the effective settings, as {@code granitefold check} prints them. */
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

    /** Reads the file; throws {@link InvalidInputException} with file, line and key in one line if anything is wrong with it. */
    public static Config read(Path file) {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e);
        }
        // Two passes: reading the list needs the names in the settings, which may come later in the file.
        NamedSettings namedSettings = null;
        SettingsReader settingsReader = null;
        JsonParser parser = openParser(text, file);
        try (parser) {
            for (String key = firstKey(parser); key != null; key = nextKey(parser)) {
                if (key.equals("settings")) {
                    settingsReader = new SettingsReader(parser);
                    namedSettings = settingsReader.namedSettings();
                } else {
                    parser.skipChildren();
                }
            }
        } catch (IOException | InvalidInputException e) {
            throw located(file, parser, e);
        }
        if (namedSettings == null || namedSettings.classes().isEmpty()) {
            throw new InvalidInputException(file + ": settings: there are no classes");
        }
        JsonParser secondPass = openParser(text, file);
        try (secondPass) {
            return read(secondPass, namedSettings, settingsReader);
        } catch (IOException | InvalidInputException e) {
            throw located(file, secondPass, e);
        }
    }

    private static JsonParser openParser(byte[] text, Path file) {
        try {
            return JSON.createParser(text);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": is not JSON");
        }
    }

    /** Describes a problem in one line, with the position and key at which reading stopped. */
    private static InvalidInputException located(Path file, JsonParser parser, Exception e) {
        StringBuilder key = new StringBuilder();
        for (JsonStreamContext context = parser.getParsingContext(); context != null; context = context.getParent()) {
            if (context.getCurrentName() != null) {
                key.insert(0, context.getCurrentName() + (key.isEmpty() ? "" : "."));
            }
        }
        String problem = e instanceof InvalidInputException ? e.getMessage() : "not JSON: " + e.getMessage().lines().findFirst().orElse("");
        return new InvalidInputException(file + ":" + parser.currentLocation().getLineNr() + ": "
                + (key.isEmpty() ? "" : key + ": ") + problem);
    }

    private static Config read(JsonParser parser, NamedSettings namedSettings, SettingsReader settingsReader) throws IOException {
        String name = "";
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        InetSocketAddress siblingAddress = null;
        List<InetSocketAddress> siblings = new ArrayList<>();
        WorkerList initialWorkers = new WorkerList(0, true, List.of());
        long seed = 0;
        int sockets = DEFAULT_SOCKETS;
        double cores = 1;
        InetSocketAddress ops = System.getenv(OPS_VARIABLE) == null || System.getenv(OPS_VARIABLE).isEmpty() ? null
                : ops(System.getenv(OPS_VARIABLE));
        for (String key = firstKey(parser); key != null; key = nextKey(parser)) {
            switch (key) {
                case "name" -> name = parser.getValueAsString("");
                case "listen" -> listen = Address.of(parser.getValueAsString(""));
                case "ops" -> ops = parser.currentToken() == JsonToken.VALUE_NULL ? ops : Address.of(parser.getValueAsString(""));
                case "discovery" -> discovery = Address.of(parser.getValueAsString(""));
                case "seed" -> seed = seed(parser.getValueAsString(""));
                case "peer_listen" -> siblingAddress = parser.currentToken() == JsonToken.VALUE_NULL ? null
                        : Address.of(parser.getValueAsString(""));
                case "peers" -> {
                    while (parser.currentToken() != JsonToken.VALUE_NULL && parser.nextToken() != JsonToken.END_ARRAY) {
                        siblings.add(Address.of(parser.getValueAsString("")));
                    }
                }
                case "limits" -> {
                    while (parser.currentToken() != JsonToken.VALUE_NULL && parser.nextToken() != JsonToken.END_OBJECT) {
                        String limit = parser.currentName();
                        parser.nextToken();
                        switch (limit) {
                            case "sockets" -> sockets = parser.getValueAsInt(sockets);
                            case "cores" -> cores = parser.getValueAsDouble(cores);
                            default -> parser.skipChildren();
                        }
                    }
                }
                case "known" -> initialWorkers = parser.currentToken() == JsonToken.VALUE_NULL ? initialWorkers
                        : WorkerListJson.read(parser, namedSettings);
                default -> parser.skipChildren();
            }
        }
        if (listen == null || discovery == null) {
            throw new InvalidInputException("the configuration needs listen and discovery");
        }
        return new Config(name, listen, discovery, seed, sockets,
                namedSettings.settings().limits().siblingMessages() ? siblingAddress : null, List.copyOf(siblings), initialWorkers,
                namedSettings, settingsReader.connectTimeoutUs(), settingsReader.idleCloseUs(), cores > 0 ? cores : 1,
                settingsReader.probing(), ops);
    }

    private static InetSocketAddress ops(String text) {
        try {
            return Address.of(text);
        } catch (InvalidInputException e) {
            throw new InvalidInputException("$" + OPS_VARIABLE + ": " + e.getMessage());
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("the seed is not 16 hex digits");
        }
    }

    private static String firstKey(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("the configuration is not an object");
        }
        return nextKey(parser);
    }

    /** Moves to the value of the next key and returns the key, or null at the end of the object. */
    private static String nextKey(JsonParser parser) throws IOException {
        if (parser.nextToken() == JsonToken.END_OBJECT) {
            return null;
        }
        String key = parser.currentName();
        parser.nextToken();
        return key;
    }
}
