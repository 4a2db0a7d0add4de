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
 * Framing: reads a batch a line, plays its events in order, writes one reply a line. A line is read whole before any
 * event is played, so keys may come in any order.
 */
final class Link {
    private final JsonFactory json = new JsonFactory();
    private final InputStream in;
    private final OutputStream out;
    private final Reply reply = new Reply();
    private final Map<String, Instance> instances = new HashMap<>();
    private final ListTable lists = new ListTable();
    private byte[] buf = new byte[1 << 16];
    private int from;
    private int to;

    /** A part of a batch: an instance and its news. */
    private static final class Part {
        String name;
        final List<Event> news = new ArrayList<>();
    }

    Link(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    void run() throws IOException {
        for (int end = line(); end >= 0; end = line()) {
            if (!blank(from, end)) {
                try (JsonParser p = json.createParser(buf, from, end - from)) {
                    batch(p);
                } catch (JsonProcessingException e) {
                    throw new InvalidInputException(e.getOriginalMessage());
                }
                reply.writeTo(out);
            }
            from = end + 1;
        }
    }

    /** Makes the next line whole in the buffer and returns where it ends, or -1 at the end of input. */
    private int line() throws IOException {
        int seen = from;
        while (true) {
            for (int i = seen; i < to; i++) {
                if (buf[i] == '\n') {
                    return i;
                }
            }
            seen = to;
            if (from > 0) {
                System.arraycopy(buf, from, buf, 0, to - from);
                seen -= from;
                to -= from;
                from = 0;
            }
            if (to == buf.length) {
                buf = Arrays.copyOf(buf, buf.length * 2);
            }
            int n = in.read(buf, to, buf.length - to);
            if (n < 0) {
                if (!blank(from, to)) {
                    throw new InvalidInputException("input ends in the middle of a line");
                }
                return -1;
            }
            to += n;
        }
    }

    private boolean blank(int a, int b) {
        while (a < b && (buf[a] == ' ' || buf[a] == '\r' || buf[a] == '\t' || buf[a] == '\n')) {
            a++;
        }
        return a >= b;
    }

    private void batch(JsonParser p) throws IOException {
        double atMs = Double.NaN;
        long turn = 0;
        boolean numbered = false;
        List<Part> parts = null;
        expect(p.nextToken(), JsonToken.START_OBJECT, "a batch");
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "atTimeMs" -> atMs = real(p);
                case "turn" -> {
                    turn = whole(p);
                    numbered = true;
                }
                case "parts" -> parts = parts(p);
                default -> p.skipChildren();
            }
        }
        if (p.nextToken() != null) {
            throw new InvalidInputException("more than one value on a line");
        }
        if (Double.isNaN(atMs) || parts == null || !numbered) {
            throw new InvalidInputException("a batch needs atTimeMs, turn and parts");
        }
        long now = Math.round(atMs * 1000);
        reply.clear();
        reply.raw("{\"turn\":").number(turn).raw(",\"parts\":[");
        boolean any = false;
        for (Part part : parts) {
            any |= play(part, now, any);
        }
        reply.raw("]}\n");
    }

    /** Plays one instance's news; tells whether it did anything. */
    private boolean play(Part part, long now, boolean comma) {
        Instance it = part.name == null ? null : instances.get(part.name);
        int start = reply.size();
        if (part.name != null) {
            reply.raw(comma ? ",{\"dispatcherId\":" : "{\"dispatcherId\":").text(part.name).raw(",\"actions\":[");
        }
        boolean first = true;
        for (Event e : part.news) {
            if (e.verb == null) {
                throw new InvalidInputException("an event without verb");
            }
            if (e.verb.equals("List")) {
                lists.put(e.list, e.entries);
                continue;
            }
            if (part.name == null) {
                throw new InvalidInputException(e.verb + " without dispatcherId");
            }
            if (e.verb.equals("Kill")) {
                instances.remove(part.name);
                it = null;
                continue;
            }
            if (e.verb.equals("PowerOn")) {
                it = new Instance(e.settings(), e.setup.reportNames(), e.salt, reply);
                instances.put(part.name, it);
            }
            if (it == null) {
                continue;
            }
            it.begin(first);
            try {
                it.play(now, e, lists);
            } catch (InvalidInputException bad) {
                throw bad;
            } catch (RuntimeException | StackOverflowError broke) {
                it.giveIn(broke + (broke.getStackTrace().length > 0 ? " at " + broke.getStackTrace()[0] : ""));
                instances.remove(part.name);
            }
            first = it.silent();
        }
        if (first) {
            reply.cut(start);
            return false;
        }
        reply.raw("]}");
        return true;
    }

    private List<Part> parts(JsonParser p) throws IOException {
        expect(p.currentToken(), JsonToken.START_ARRAY, "parts");
        List<Part> parts = new ArrayList<>();
        while (p.nextToken() != JsonToken.END_ARRAY) {
            expect(p.currentToken(), JsonToken.START_OBJECT, "a part");
            Part part = new Part();
            parts.add(part);
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                p.nextToken();
                if (name.equals("dispatcherId")) {
                    part.name = p.getValueAsString();
                } else if (name.equals("news")) {
                    expect(p.currentToken(), JsonToken.START_ARRAY, "news");
                    while (p.nextToken() != JsonToken.END_ARRAY) {
                        expect(p.currentToken(), JsonToken.START_OBJECT, "an event");
                        part.news.add(event(p));
                    }
                } else {
                    p.skipChildren();
                }
            }
        }
        return parts;
    }

    private Event event(JsonParser p) throws IOException {
        Event e = new Event();
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            if (p.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "verb" -> e.verb = p.getText();
                case "msgId" -> {
                    e.id = whole(p);
                    e.hasId = true;
                }
                case "category" -> e.category = (int) whole(p);
                case "clientGroup" -> e.clientGroup = (int) whole(p);
                case "timeLeftMs" -> e.timeLeftMs = real(p);
                case "expectedMs" -> e.expectedMs = real(p);
                case "needs" -> e.needs = (int) real(p);
                case "ramUnits" -> e.ramUnits = (int) real(p);
                case "item" -> e.item = p.getText();
                case "trial" -> e.trial = (int) whole(p);
                case "topic" -> e.topic = (int) whole(p);
                case "amount" -> e.amount = real(p);
                case "ended" -> e.ended = p.currentToken() == JsonToken.VALUE_TRUE;
                case "code" -> e.code = whole(p);
                case "feedback" -> feedback(p, e);
                case "how" -> e.how = p.getText();
                case "list" -> e.list = (int) whole(p);
                case "nodesList" -> e.entries = workers(p);
                case "label" -> e.label = whole(p);
                case "src" -> e.src = (int) whole(p);
                case "body" -> e.body = p.getBinaryValue();
                case "salt" -> e.salt = whole(p);
                case "setup" -> e.setup = new SettingsReader(p);
                default -> p.skipChildren();
            }
        }
        return e;
    }

    private static void feedback(JsonParser p, Event e) throws IOException {
        expect(p.currentToken(), JsonToken.START_ARRAY, "feedback");
        e.feedback = new double[8];
        while (p.nextToken() != JsonToken.END_ARRAY) {
            if (e.feedbackSize < e.feedback.length) {
                e.feedback[e.feedbackSize++] = p.currentToken() == JsonToken.VALUE_NULL ? Double.NaN : real(p);
            }
        }
    }

    private static List<Worker> workers(JsonParser p) throws IOException {
        expect(p.currentToken(), JsonToken.START_ARRAY, "nodesList");
        List<Worker> found = new ArrayList<>();
        while (p.nextToken() != JsonToken.END_ARRAY) {
            expect(p.currentToken(), JsonToken.START_OBJECT, "a list entry");
            long id = -1;
            double size = 1;
            State state = State.READY;
            double sinceMs = 0;
            int zone = 0;
            int cell = 0;
            int kind = 0;
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                if (p.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "runner" -> id = whole(p);
                    case "powerHint" -> size = real(p);
                    case "lifecycle" -> state = WireCodes.state(p.getText());
                    case "sinceMs" -> sinceMs = real(p);
                    case "failureDomain" -> zone = (int) whole(p);
                    case "stripe" -> cell = (int) whole(p);
                    case "classOfHost" -> kind = (int) whole(p);
                    default -> p.skipChildren();
                }
            }
            if (id < 0) {
                throw new InvalidInputException("a list entry without runner");
            }
            found.add(new Worker(id, size, state, Math.round(sinceMs * 1000), zone, cell, kind));
        }
        return found;
    }

    private static void expect(JsonToken is, JsonToken wanted, String what) {
        if (is != wanted) {
            throw new InvalidInputException(what + " is not as expected");
        }
    }

    private static double real(JsonParser p) throws IOException {
        if (!p.currentToken().isNumeric()) {
            throw new InvalidInputException(p.currentName() + " is not a number");
        }
        return p.getDoubleValue();
    }

    private static long whole(JsonParser p) throws IOException {
        if (p.currentToken() == JsonToken.VALUE_NUMBER_INT) {
            return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? p.getBigIntegerValue().longValue() : p.getLongValue();
        }
        return (long) real(p);
    }
}
