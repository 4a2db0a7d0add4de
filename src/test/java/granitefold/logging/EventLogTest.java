package granitefold.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.slf4j.event.SubstituteLoggingEvent;
import org.slf4j.helpers.SubstituteLogger;

/** Events are declared once and documented, and a repeated event does not flood the log. */
class EventLogTest {
    @Test
    void everyEventHasAUniqueIdAndAFieldForEachPlaceholder() {
        Set<String> ids = new HashSet<>();
        for (LogEvent e : LogEvent.values()) {
            assertTrue(ids.add(e.id()), e.id());
            assertEquals(e.fields().size(), e.text().split("\\{\\}", -1).length - 1, e.text());
        }
    }

    @Test
    void everyEventIsDocumentedOnTheOnCallPage() throws Exception {
        String page = Files.readString(Path.of("docs/ON-CALL.md"));
        for (LogEvent e : LogEvent.values()) {
            assertTrue(page.contains("`" + e.id() + "`"), e.id());
        }
    }

    @Test
    void repeatsAreCountedInsteadOfWritten() {
        java.util.Queue<SubstituteLoggingEvent> written = new java.util.ArrayDeque<>();
        EventLog log = new EventLog(new SubstituteLogger("x", written, false));
        for (int i = 0; i < 1000; i++) {
            log.write(LogEvent.CONTROL, null, 1_000_000_000L, "status");
        }
        assertEquals(50, written.size());
        log.write(LogEvent.PHASE, null, 1_000_000_000L, "SERVING");
        assertEquals(51, written.size(), "another event is not held back");
        log.write(LogEvent.CONTROL, null, 20_000_000_000L, "status");
        assertEquals(53, written.size());
        assertTrue(java.util.Arrays.asList(written.stream().skip(51).findFirst().orElseThrow().getArgumentArray()).contains(950));
    }
}
