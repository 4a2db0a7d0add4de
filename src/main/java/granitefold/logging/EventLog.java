package granitefold.logging;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes events through SLF4J: as one line of text, or with event and fields as pairs for an encoder of JSON. An event
 * that comes too often is counted instead, and the count is told with the next one that is written.
 */
public final class EventLog {
    /** So many of one event may come in one period; a burst of the ordinary kind is all written. */
    private static final int MOST = 50;
    private static final long PERIOD_NS = 10_000_000_000L;

    private static final EventLog SHARED = new EventLog(LoggerFactory.getLogger("granitefold"));
    private static volatile boolean pairs;

    private static final class Count {
        long since;
        int written;
        int kept;
    }

    private final Logger logger;
    private final Map<LogEvent, Count> counts = new EnumMap<>(LogEvent.class);

    EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Events carry their fields as pairs from now on, for an encoder that writes them as such. */
    public static void structured(boolean on) {
        pairs = on;
    }

    public static void log(LogEvent event, Object... values) {
        SHARED.write(event, null, System.nanoTime(), values);
    }

    public static void error(LogEvent event, Throwable why, Object... values) {
        SHARED.write(event, why, System.nanoTime(), values);
    }

    synchronized void write(LogEvent event, Throwable why, long nanos, Object... values) {
        if (event.level() == LogEvent.Level.REQUEST) {
            emit(event, why, values);
            return;
        }
        Count c = counts.computeIfAbsent(event, e -> new Count());
        if (c.written == 0 || nanos - c.since > PERIOD_NS) {
            int kept = c.kept;
            c.since = nanos;
            c.written = 0;
            c.kept = 0;
            if (kept > 0) {
                emit(LogEvent.SUPPRESSED_COUNT, null, event.id(), kept);
            }
        }
        if (c.written >= MOST) {
            c.kept++;
        } else {
            c.written++;
            emit(event, why, values);
        }
    }

    private void emit(LogEvent event, Throwable why, Object... values) {
        Level level = event.level() == LogEvent.Level.REQUEST ? Level.INFO : Level.valueOf(event.level().name());
        if (!pairs) {
            Object[] all = values;
            if (why != null) {
                all = java.util.Arrays.copyOf(values, values.length + 1);
                all[values.length] = why;
            }
            switch (level) {
                case ERROR -> logger.error(event.text(), all);
                case WARN -> logger.warn(event.text(), all);
                default -> logger.info(event.text(), all);
            }
            return;
        }
        LoggingEventBuilder b = logger.atLevel(level).setMessage(event.text()).addKeyValue("event", event.id());
        for (int i = 0; i < values.length; i++) {
            b = b.addArgument(values[i]).addKeyValue(event.fields().get(i),
                    values[i] instanceof Number || values[i] instanceof Boolean ? values[i] : String.valueOf(values[i]));
        }
        (why == null ? b : b.setCause(why)).log();
    }
}
