package granitefold.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.core.AttemptUpdate;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** One line of a worker's answer. */
public final class WorkerLine {
    private static final JsonFactory JSON = new JsonFactory();

    private WorkerLine() { }

    /** Decodes a whole line about the request with this id; null for one that tells nothing of use. */
    public static AttemptUpdate decode(byte[] buf, int from, int length, String txn) {
        String id = null;
        String state = "";
        String result = null;
        double share = Double.NaN;
        try (JsonParser p = JSON.createParser(buf, from, length)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("a worker's line is not an object");
            }
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                JsonToken value = p.nextToken();
                switch (name) {
                    case "id" -> id = p.getValueAsString();
                    case "state" -> state = p.getValueAsString("");
                    case "result" -> result = value == JsonToken.VALUE_STRING ? p.getText() : null;
                    case "share" -> share = p.getValueAsDouble(Double.NaN);
                    default -> p.skipChildren();
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException("a worker's line is not JSON");
        }
        if (!txn.equals(id)) {
            // never hand one request's result to another
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

    /** What a status other than 200 says of the attempt. */
    public static AttemptUpdate fromStatus(int status, String turnedAway) {
        return (status == 503 || status == 504) && "1".equals(turnedAway) ? new AttemptUpdate.Returned()
                : new AttemptUpdate.Failed();
    }
}
