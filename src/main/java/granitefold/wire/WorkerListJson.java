package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.Dispatcher.State;
import granitefold.core.WorkerList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Decodes discovery's list of workers, a snapshot or changes, from one JSON object. */
public final class WorkerListJson {
    private static final JsonFactory JSON = new JsonFactory();

    private WorkerListJson() { }

    /** Decodes one object of the watch. */
    public static WorkerList decode(byte[] buf, int from, int length, NamedSettings settings) {
        try (JsonParser parser = JSON.createParser(buf, from, length)) {
            parser.nextToken();
            return read(parser, settings);
        } catch (IOException e) {
            throw new InvalidInputException("a list is not JSON");
        }
    }

    static WorkerList read(JsonParser parser, NamedSettings settings) throws IOException {
        long version = -1;
        boolean snapshot = false;
        List<WorkerList.Entry> entries = null;
        expect(parser, JsonToken.START_OBJECT, "a list");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "index" -> version = parser.getValueAsLong(-1);
                case "snapshot" -> snapshot = parser.getValueAsBoolean();
                case "endpoints" -> entries = entries(parser, settings);
                default -> parser.skipChildren();
            }
        }
        if (version < 0 || entries == null) {
            throw new InvalidInputException("a list needs index and endpoints");
        }
        return new WorkerList(version, snapshot, List.copyOf(entries));
    }

    private static List<WorkerList.Entry> entries(JsonParser parser, NamedSettings settings) throws IOException {
        expect(parser, JsonToken.START_ARRAY, "endpoints");
        List<WorkerList.Entry> found = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, JsonToken.START_OBJECT, "an endpoint");
            found.add(entry(parser, settings));
        }
        return found;
    }

    private static WorkerList.Entry entry(JsonParser parser, NamedSettings settings) throws IOException {
        String worker = null;
        String address = null;
        State state = null;
        double weight = 1;
        double sinceMs = 0;
        int zone = -1;
        int cell = 0;
        int kind = -1;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "name" -> worker = parser.getValueAsString();
                case "address" -> address = parser.getValueAsString();
                case "status" -> state = switch (parser.getValueAsString("")) {
                    case "up" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "removed" -> State.GONE;
                    default -> throw new InvalidInputException("an endpoint's status is unknown");
                };
                case "weight" -> weight = parser.getValueAsDouble(1);
                case "since_ms" -> sinceMs = parser.getValueAsDouble(0);
                case "zone" -> zone = settings.zones().getOrDefault(parser.getValueAsString(""), -1);
                case "group" -> cell = parser.getValueAsInt(0);
                case "type" -> kind = settings.hostTypes().getOrDefault(parser.getValueAsString(""), -1);
                default -> parser.skipChildren();
            }
        }
        if (worker == null || state == null || address == null && state != State.GONE) {
            throw new InvalidInputException("an endpoint needs name, address and status");
        }
        if (address != null) {
            Address.of(address);
        }
        return new WorkerList.Entry(worker, address, state, weight, Math.round(sinceMs * 1000), zone, cell, kind);
    }

    private static void expect(JsonParser parser, JsonToken expected, String what) {
        if (parser.currentToken() != expected) {
            throw new InvalidInputException(what + " has the wrong JSON type");
        }
    }
}
