package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.core.AttemptUpdate;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Decodes the lines and statuses with which a worker answers a request. */
public final class WorkerLine {
    private static final JsonFactory JSON = new JsonFactory();

    private WorkerLine() { }

    /** Decodes a complete line about the request with id {@code txn}; returns null for a state that needs no reaction. */
    public static AttemptUpdate decode(byte[] buf, int from, int length, String txn) {
        String id = null;
        String state = "";
        String result = null;
        double share = Double.NaN;
        try (JsonParser parser = JSON.createParser(buf, from, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("a worker's line is not an object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getValueAsString();
                    case "state" -> state = parser.getValueAsString("");
                    case "result" -> result = value == JsonToken.VALUE_STRING ? parser.getText() : null;
                    case "share" -> share = parser.getValueAsDouble(Double.NaN);
                    default -> parser.skipChildren();
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException("a worker's line is not JSON");
        }
        if (!txn.equals(id)) {
            // Never deliver one request's result to another request.
            throw new InvalidInputException("a worker's line is about another request");
        }
        return switch (state) {
            case "started" -> new AttemptUpdate.Started();
            case "running" -> new AttemptUpdate.Progressed(share);
            case "done" -> {
                if (result == null) {
                    throw new InvalidInputException("a worker's last line has no result");
                }
                yield new AttemptUpdate.Served(result.getBytes(StandardCharsets.UTF_8));
            }
            case "failed" -> new AttemptUpdate.Failed();
            case "returned" -> new AttemptUpdate.Returned();
            case "lost" -> new AttemptUpdate.Lost();
            default -> null;
        };
    }

    /** Returns what an HTTP status other than 200 means for the attempt. */
    public static AttemptUpdate fromStatus(int status, String turnedAway) {
        return (status == 503 || status == 504) && "1".equals(turnedAway) ? new AttemptUpdate.Returned()
                : new AttemptUpdate.Failed();
    }
}
