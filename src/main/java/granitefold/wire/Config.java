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
 * What a dispatcher is told at its start. {@code siblingListen} is null where there are no datagrams, {@code ops} where
 * nobody asks how the process stands.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
        InetSocketAddress siblingListen, List<InetSocketAddress> siblings, WorkerList known, Vocabulary words,
        long connectTimeoutUs, long idleCloseUs, double cores,
        boolean probing, InetSocketAddress ops) {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int SOCKETS_UNTOLD = 1024;
    /** The second address, where the file does not name it. */
    private static final String OPS = "LB_OPS";

    /** What places in the settings stand for, for a state file. */
    public StateIndexMapping places() {
        return new StateIndexMapping(name, words.key(), words.settings().selfIndex(), words.settings().siblings(), Vocabulary.names(words.tenants()),
                Vocabulary.names(words.kinds()));
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
        all.put("peer_listen", siblingListen == null ? "off" : Address.text(siblingListen));
        all.put("peers", siblings.stream().map(Address::text).toList().toString());
        all.put("known", "version " + known.version() + ", " + known.entries().size() + " workers");
        all.put("settings", "key " + words.key());
        all.put("settings.classes", words.classes().keySet().stream().sorted().toList().toString());
        all.put("settings.tenants", words.tenants().keySet().stream().sorted().toList().toString());
        all.put("settings.limits.connectTimeoutMs", Long.toString(connectTimeoutUs / 1000));
        all.put("settings.limits.idleCloseMs", Long.toString(idleCloseUs / 1000));
        all.put("settings.limits.probing", Boolean.toString(probing));
        return all;
    }

    /** Reads the file; whatever is wrong with it is told in one line, with file, line and key, by {@link BadWire}. */
    public static Config read(Path file) {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new BadWire(file + ": cannot be read: " + e);
        }
        // two passes: the list is read with the names in the settings, which may come later in the file
        Vocabulary words = null;
        SettingsReader setup = null;
        JsonParser p = parser(text, file);
        try (p) {
            for (String key = first(p); key != null; key = next(p)) {
                if (key.equals("settings")) {
                    setup = new SettingsReader(p);
                    words = setup.vocabulary();
                } else {
                    p.skipChildren();
                }
            }
        } catch (IOException | BadWire e) {
            throw at(file, p, e);
        }
        if (words == null || words.classes().isEmpty()) {
            throw new BadWire(file + ": settings: there are no classes");
        }
        JsonParser again = parser(text, file);
        try (again) {
            return read(again, words, setup);
        } catch (IOException | BadWire e) {
            throw at(file, again, e);
        }
    }

    private static JsonParser parser(byte[] text, Path file) {
        try {
            return JSON.createParser(text);
        } catch (IOException e) {
            throw new BadWire(file + ": is not JSON");
        }
    }

    /** The problem in one line, with the place that reading had come to. */
    private static BadWire at(Path file, JsonParser p, Exception e) {
        StringBuilder key = new StringBuilder();
        for (JsonStreamContext c = p.getParsingContext(); c != null; c = c.getParent()) {
            if (c.getCurrentName() != null) {
                key.insert(0, c.getCurrentName() + (key.isEmpty() ? "" : "."));
            }
        }
        String what = e instanceof BadWire ? e.getMessage() : "not JSON: " + e.getMessage().lines().findFirst().orElse("");
        return new BadWire(file + ":" + p.currentLocation().getLineNr() + ": " + (key.isEmpty() ? "" : key + ": ") + what);
    }

    private static Config read(JsonParser p, Vocabulary words, SettingsReader setup) throws IOException {
        String name = "";
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        InetSocketAddress siblingListen = null;
        List<InetSocketAddress> siblings = new ArrayList<>();
        WorkerList known = new WorkerList(0, true, List.of());
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
                case "peer_listen" -> siblingListen = p.currentToken() == JsonToken.VALUE_NULL ? null
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
                case "known" -> known = p.currentToken() == JsonToken.VALUE_NULL ? known : Listing.read(p, words);
                default -> p.skipChildren();
            }
        }
        if (listen == null || discovery == null) {
            throw new BadWire("the configuration needs listen and discovery");
        }
        return new Config(name, listen, discovery, seed, sockets, words.settings().limits().siblingMessages() ? siblingListen
                : null, List.copyOf(siblings), known, words, setup.connectTimeoutUs(), setup.idleCloseUs(), cores > 0 ? cores : 1,
                setup.probing(), ops);
    }

    private static InetSocketAddress ops(String text) {
        try {
            return Address.of(text);
        } catch (BadWire e) {
            throw new BadWire("$" + OPS + ": " + e.getMessage());
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new BadWire("the seed is not 16 hex digits");
        }
    }

    private static String first(JsonParser p) throws IOException {
        if (p.nextToken() != JsonToken.START_OBJECT) {
            throw new BadWire("the configuration is not an object");
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
