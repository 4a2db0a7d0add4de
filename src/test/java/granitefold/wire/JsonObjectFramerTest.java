package granitefold.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import granitefold.wire.JsonObjectFramer.Result;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** JSON objects are assembled from lines. */
class JsonObjectFramerTest {
    private final JsonObjectFramer framer = new JsonObjectFramer(200);

    private List<String> read(String text) {
        List<String> found = new ArrayList<>();
        for (String lineText : text.split("\n", -1)) {
            byte[] line = (">" + lineText).getBytes(StandardCharsets.UTF_8);
            Result result = framer.add(line, 1, line.length - 1);
            if (result != Result.INCOMPLETE) {
                found.add(result == Result.BLANK ? "" : new String(framer.buffer(), framer.offset(), framer.length(), StandardCharsets.UTF_8));
            }
        }
        return found;
    }

    @Test
    void singleLineAndMultiLineObjectsWithHeartbeatsBetween() {
        assertEquals(List.of("{\"a\":1}", "", "{\n  \"b\": [\n    {}\n  ]\n}\n", "", " {\"c\":2}\r"),
                read("{\"a\":1}\n\n{\n  \"b\": [\n    {}\n\n  ]\n}\n \t\r\n {\"c\":2}\r"));
    }

    @Test
    void bracketsInStringsAreIgnored() {
        assertEquals(List.of("{\"}\\\"{[\":\n\"]\"}\n", "x"), read("{\"}\\\"{[\":\n\"]\"}\nx"));
    }

    /** Invalid JSON is passed on to the decoder, which rejects it; it does not affect the objects that follow. */
    @Test
    void surplusClosingBracketsDoNotAffectTheNextObject() {
        assertEquals(List.of("]]}", "{}"), read("]]}\n{}"));
    }

    @Test
    void anObjectThatNeverEndsIsRejected() {
        assertThrows(InvalidInputException.class, () -> read("{\n" + "1\n".repeat(200)));
    }

    @Property(tries = 500)
    void anyTextNeedsABoundedBuffer(@ForAll String text) {
        try {
            read(text);
        } catch (InvalidInputException e) {
            assertEquals("a list is too long", e.getMessage());
        }
    }

    /** Guards against a buffer that holds the longest list for the lifetime of the watch. */
    @Test
    void bufferOfALongObjectIsDropped() {
        JsonObjectFramer framer = new JsonObjectFramer(1 << 20);
        byte[] part = ("{\"a\":\"" + "x".repeat(100_000) + "\",").getBytes(StandardCharsets.UTF_8);
        framer.add(part, 0, part.length);
        framer.add(new byte[] {'}'}, 0, 1);
        assertTrue(framer.heldBytes() > 100_000);
        framer.add(new byte[0], 0, 0);
        assertEquals(0, framer.heldBytes());
    }
}
