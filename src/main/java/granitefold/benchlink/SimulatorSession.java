package granitefold.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import granitefold.wire.InvalidInputException;
import granitefold.wire.SettingsReader;
import granitefold.wire.WireCodes;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads one batch of events per line, processes its events in order and writes one reply per line. A line is parsed
 * completely before any event is processed, so keys may come in any order.
 */
final class SimulatorSession {
    private final JsonFactory json = new JsonFactory();
    private final InputStream in;
    private final OutputStream out;
    private final ReplyLine reply = new ReplyLine();
    private final Map<String, DispatcherInstance> instances = new HashMap<>();
    private final ListTable workerLists = new ListTable();
    private byte[] buffer = new byte[1 << 16];
    private int from;
    private int to;

    /** A part of a batch: the events of one dispatcher. */
    private static final class Part {
        String name;
        final List<Event> events = new ArrayList<>();
    }

    SimulatorSession(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    void run() throws IOException {
        for (int end = readLine(); end >= 0; end = readLine()) {
            if (!isBlank(from, end)) {
                try (JsonParser parser = json.createParser(buffer, from, end - from)) {
                    processBatch(parser);
                } catch (JsonProcessingException e) {
                    throw new InvalidInputException(e.getOriginalMessage());
                }
                reply.writeTo(out);
            }
            from = end + 1;
        }
    }

    /** Reads the next line completely into the buffer and returns its end, or -1 at the end of input. */
    private int readLine() throws IOException {
        int scanned = from;
        while (true) {
            for (int i = scanned; i < to; i++) {
                if (buffer[i] == '\n') {
                    return i;
                }
            }
            scanned = to;
            if (from > 0) {
                System.arraycopy(buffer, from, buffer, 0, to - from);
                scanned -= from;
                to -= from;
                from = 0;
            }
            if (to == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            int n = in.read(buffer, to, buffer.length - to);
            if (n < 0) {
                if (!isBlank(from, to)) {
                    throw new InvalidInputException("input ends in the middle of a line");
                }
                return -1;
            }
            to += n;
        }
    }

    private boolean isBlank(int a, int b) {
        while (a < b && (buffer[a] == ' ' || buffer[a] == '\r' || buffer[a] == '\t' || buffer[a] == '\n')) {
            a++;
        }
        return a >= b;
    }

    private void processBatch(JsonParser parser) throws IOException {
        double atMs = Double.NaN;
        long turn = 0;
        boolean hasTurn = false;
        List<Part> parts = null;
        expect(parser.nextToken(), JsonToken.START_OBJECT, "a batch");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "atTimeMs" -> atMs = real(parser);
                case "turn" -> {
                    turn = integer(parser);
                    hasTurn = true;
                }
                case "parts" -> parts = parts(parser);
                default -> parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new InvalidInputException("more than one value on a line");
        }
        if (Double.isNaN(atMs) || parts == null || !hasTurn) {
            throw new InvalidInputException("a batch needs atTimeMs, turn and parts");
        }
        long now = Math.round(atMs * 1000);
        reply.clear();
        reply.raw("{\"turn\":").number(turn).raw(",\"parts\":[");
        boolean anyActions = false;
        for (Part part : parts) {
            anyActions |= process(part, now, anyActions);
        }
        reply.raw("]}\n");
    }

    /** Processes the events of one dispatcher; returns whether it took any action. */
    private boolean process(Part part, long now, boolean comma) {
        DispatcherInstance instance = part.name == null ? null : instances.get(part.name);
        int start = reply.size();
        if (part.name != null) {
            reply.raw(comma ? ",{\"dispatcherId\":" : "{\"dispatcherId\":").string(part.name).raw(",\"actions\":[");
        }
        boolean first = true;
        for (Event event : part.events) {
            if (event.verb == null) {
                throw new InvalidInputException("an event without verb");
            }
            if (event.verb.equals("List")) {
                workerLists.put(event.list, event.entries);
                continue;
            }
            if (part.name == null) {
                throw new InvalidInputException(event.verb + " without dispatcherId");
            }
            if (event.verb.equals("Kill")) {
                instances.remove(part.name);
                instance = null;
                continue;
            }
            if (event.verb.equals("PowerOn")) {
                instance = new DispatcherInstance(event.settings(), event.setup.reportNames(), event.salt, reply);
                instances.put(part.name, instance);
            }
            if (instance == null) {
                continue;
            }
            instance.begin(first);
            try {
                instance.process(now, event, workerLists);
            } catch (InvalidInputException invalid) {
                throw invalid;
            } catch (RuntimeException | StackOverflowError failure) {
                instance.reportFailure(failure + (failure.getStackTrace().length > 0 ? " at " + failure.getStackTrace()[0] : ""));
                instances.remove(part.name);
            }
            first = instance.isEmpty();
        }
        if (first) {
            reply.truncate(start);
            return false;
        }
        reply.raw("]}");
        return true;
    }

    private List<Part> parts(JsonParser parser) throws IOException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "parts");
        List<Part> parts = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken(), JsonToken.START_OBJECT, "a part");
            Part part = new Part();
            parts.add(part);
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("dispatcherId")) {
                    part.name = parser.getValueAsString();
                } else if (name.equals("news")) {
                    expect(parser.currentToken(), JsonToken.START_ARRAY, "news");
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        expect(parser.currentToken(), JsonToken.START_OBJECT, "an event");
                        part.events.add(readEvent(parser));
                    }
                } else {
                    parser.skipChildren();
                }
            }
        }
        return parts;
    }

    private Event readEvent(JsonParser parser) throws IOException {
        Event event = new Event();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "verb" -> event.verb = parser.getText();
                case "msgId" -> {
                    event.id = integer(parser);
                    event.hasId = true;
                }
                case "category" -> event.category = (int) integer(parser);
                case "clientGroup" -> event.clientGroup = (int) integer(parser);
                case "timeLeftMs" -> event.timeLeftMs = real(parser);
                case "expectedMs" -> event.expectedMs = real(parser);
                case "needs" -> event.needs = (int) real(parser);
                case "ramUnits" -> event.ramUnits = (int) real(parser);
                case "item" -> event.item = parser.getText();
                case "trial" -> event.trial = (int) integer(parser);
                case "topic" -> event.topic = (int) integer(parser);
                case "amount" -> event.amount = real(parser);
                case "ended" -> event.ended = parser.currentToken() == JsonToken.VALUE_TRUE;
                case "code" -> event.code = integer(parser);
                case "feedback" -> feedback(parser, event);
                case "how" -> event.how = parser.getText();
                case "list" -> event.list = (int) integer(parser);
                case "nodesList" -> event.entries = workers(parser);
                case "label" -> event.label = integer(parser);
                case "src" -> event.src = (int) integer(parser);
                case "body" -> event.body = parser.getBinaryValue();
                case "salt" -> event.salt = integer(parser);
                case "setup" -> event.setup = new SettingsReader(parser);
                default -> parser.skipChildren();
            }
        }
        return event;
    }

    private static void feedback(JsonParser parser, Event event) throws IOException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "feedback");
        event.feedback = new double[8];
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (event.feedbackSize < event.feedback.length) {
                event.feedback[event.feedbackSize++] = parser.currentToken() == JsonToken.VALUE_NULL ? Double.NaN : real(parser);
            }
        }
    }

    private static List<Worker> workers(JsonParser parser) throws IOException {
        expect(parser.currentToken(), JsonToken.START_ARRAY, "nodesList");
        List<Worker> found = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken(), JsonToken.START_OBJECT, "a list entry");
            long id = -1;
            double size = 1;
            State state = State.READY;
            double sinceMs = 0;
            int zone = 0;
            int cell = 0;
            int kind = 0;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "runner" -> id = integer(parser);
                    case "powerHint" -> size = real(parser);
                    case "lifecycle" -> state = WireCodes.state(parser.getText());
                    case "sinceMs" -> sinceMs = real(parser);
                    case "failureDomain" -> zone = (int) integer(parser);
                    case "stripe" -> cell = (int) integer(parser);
                    case "classOfHost" -> kind = (int) integer(parser);
                    default -> parser.skipChildren();
                }
            }
            if (id < 0) {
                throw new InvalidInputException("a list entry without runner");
            }
            found.add(new Worker(id, size, state, Math.round(sinceMs * 1000), zone, cell, kind));
        }
        return found;
    }

    private static void expect(JsonToken actual, JsonToken expected, String what) {
        if (actual != expected) {
            throw new InvalidInputException(what + " has the wrong JSON type");
        }
    }

    private static double real(JsonParser parser) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            throw new InvalidInputException(parser.currentName() + " is not a number");
        }
        return parser.getDoubleValue();
    }

    private static long integer(JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? parser.getBigIntegerValue().longValue() : parser.getLongValue();
        }
        return (long) real(parser);
    }
}
