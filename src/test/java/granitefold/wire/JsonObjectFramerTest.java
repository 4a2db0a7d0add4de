package granitefold.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import granitefold.wire.JsonObjectFramer.Result;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Objects put together from lines. */
class JsonObjectFramerTest {
    private final JsonObjectFramer frames = new JsonObjectFramer(200);

    private List<String> read(String text) {
        List<String> found = new ArrayList<>();
        for (String l : text.split("\n", -1)) {
            byte[] line = (">" + l).getBytes(StandardCharsets.UTF_8);
            Result f = frames.add(line, 1, line.length - 1);
            if (f != Result.INCOMPLETE) {
                found.add(f == Result.BLANK ? "" : new String(frames.buffer(), frames.offset(), frames.length(), StandardCharsets.UTF_8));
            }
        }
        return found;
    }

    @Test
    void oneALineAndOneOverManyAndSignsOfLifeBetween() {
        assertEquals(List.of("{\"a\":1}", "", "{\n  \"b\": [\n    {}\n  ]\n}\n", "", " {\"c\":2}\r"),
                read("{\"a\":1}\n\n{\n  \"b\": [\n    {}\n\n  ]\n}\n \t\r\n {\"c\":2}\r"));
    }

    @Test
    void whatStandsInTextIsNoBracket() {
        assertEquals(List.of("{\"}\\\"{[\":\n\"]\"}\n", "x"), read("{\"}\\\"{[\":\n\"]\"}\nx"));
    }

    /** What makes no sense is handed on, to be found out where it is decoded; it never holds up what follows. */
    @Test
    void moreEndsThanBeginningsAreNoDebt() {
        assertEquals(List.of("]]}", "{}"), read("]]}\n{}"));
    }

    @Test
    void anObjectThatNeverEndsIsNotKeptForGood() {
        assertThrows(InvalidInputException.class, () -> read("{\n" + "1\n".repeat(200)));
    }

    @Property(tries = 500)
    void anyTextEndsInABoundedBuffer(@ForAll String text) {
        try {
            read(text);
        } catch (InvalidInputException e) {
            assertEquals("a list is too long", e.getMessage());
        }
    }
}
