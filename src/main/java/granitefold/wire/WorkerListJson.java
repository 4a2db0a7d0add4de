package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.Dispatcher.State;
import granitefold.core.WorkerList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Discovery's list of workers, whole or changes: one JSON object. */
public final class WorkerListJson {
    private static final JsonFactory JSON = new JsonFactory();

    private WorkerListJson() { }

    /** Decodes one line of the watch. */
    public static WorkerList decode(byte[] buf, int from, int length, NamedSettings words) {
        try (JsonParser p = JSON.createParser(buf, from, length)) {
            p.nextToken();
            return read(p, words);
        } catch (IOException e) {
            throw new InvalidInputException("a list is not JSON");
        }
    }

    static WorkerList read(JsonParser p, NamedSettings words) throws IOException {
        long version = -1;
        boolean whole = false;
        List<WorkerList.Entry> entries = null;
        expect(p, JsonToken.START_OBJECT, "a list");
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "index" -> version = p.getValueAsLong(-1);
                case "snapshot" -> whole = p.getValueAsBoolean();
                case "endpoints" -> entries = entries(p, words);
                default -> p.skipChildren();
            }
        }
        if (version < 0 || entries == null) {
            throw new InvalidInputException("a list needs index and endpoints");
        }
        return new WorkerList(version, whole, List.copyOf(entries));
    }

    private static List<WorkerList.Entry> entries(JsonParser p, NamedSettings words) throws IOException {
        expect(p, JsonToken.START_ARRAY, "endpoints");
        List<WorkerList.Entry> found = new ArrayList<>();
        while (p.nextToken() != JsonToken.END_ARRAY) {
            expect(p, JsonToken.START_OBJECT, "an endpoint");
            found.add(entry(p, words));
        }
        return found;
    }

    private static WorkerList.Entry entry(JsonParser p, NamedSettings words) throws IOException {
        String worker = null;
        String address = null;
        State state = null;
        double weight = 1;
        double sinceMs = 0;
        int zone = -1;
        int cell = 0;
        int kind = -1;
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "name" -> worker = p.getValueAsString();
                case "address" -> address = p.getValueAsString();
                case "status" -> state = switch (p.getValueAsString("")) {
                    case "up" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "removed" -> State.GONE;
                    default -> throw new InvalidInputException("an endpoint's status is unknown");
                };
                case "weight" -> weight = p.getValueAsDouble(1);
                case "since_ms" -> sinceMs = p.getValueAsDouble(0);
                case "zone" -> zone = words.zones().getOrDefault(p.getValueAsString(""), -1);
                case "group" -> cell = p.getValueAsInt(0);
                case "type" -> kind = words.hostTypes().getOrDefault(p.getValueAsString(""), -1);
                default -> p.skipChildren();
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

    private static void expect(JsonParser p, JsonToken wanted, String what) {
        if (p.currentToken() != wanted) {
            throw new InvalidInputException(what + " is not as expected");
        }
    }
}
