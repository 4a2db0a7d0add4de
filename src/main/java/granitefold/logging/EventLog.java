package granitefold.logging;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes events through SLF4J, as one line of text or with event and fields as key-value pairs for a JSON encoder. The
 * rate of each event is limited: events over the limit are only counted, and the count is logged before the next one.
 */
public final class EventLog {
    /** Number of occurrences of one event that are written per period; enough for bursts in normal operation. */
    private static final int MAX_PER_PERIOD = 50;
    private static final long PERIOD_NS = 10_000_000_000L;

    private static final EventLog SHARED = new EventLog(LoggerFactory.getLogger("granitefold"));
    private static volatile boolean structuredOutput;

    private static final class Count {
        long periodStart;
        int written;
        int suppressed;
    }

    private final Logger logger;
    private final Map<LogEvent, Count> counts = new EnumMap<>(LogEvent.class);

    EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Sets whether events carry their fields as key-value pairs, for an encoder that writes them as such. */
    public static void structured(boolean on) {
        structuredOutput = on;
    }

    /** Logs an event; {@code values} are in the order of its fields. */
    public static void log(LogEvent event, Object... values) {
        SHARED.write(event, null, System.nanoTime(), values);
    }

    /** Logs an event with the exception that caused it. */
    public static void error(LogEvent event, Throwable cause, Object... values) {
        SHARED.write(event, cause, System.nanoTime(), values);
    }

    synchronized void write(LogEvent event, Throwable cause, long nanos, Object... values) {
        if (event.level() == LogEvent.Level.REQUEST) {
            emit(event, cause, values);
            return;
        }
        Count count = counts.computeIfAbsent(event, e -> new Count());
        if (count.written == 0 || nanos - count.periodStart > PERIOD_NS) {
            int suppressed = count.suppressed;
            count.periodStart = nanos;
            count.written = 0;
            count.suppressed = 0;
            if (suppressed > 0) {
                emit(LogEvent.SUPPRESSED_COUNT, null, event.id(), suppressed);
            }
        }
        if (count.written >= MAX_PER_PERIOD) {
            count.suppressed++;
        } else {
            count.written++;
            emit(event, cause, values);
        }
    }

    private void emit(LogEvent event, Throwable cause, Object... values) {
        Level level = event.level() == LogEvent.Level.REQUEST ? Level.INFO : Level.valueOf(event.level().name());
        if (!structuredOutput) {
            Object[] arguments = values;
            if (cause != null) {
                arguments = java.util.Arrays.copyOf(values, values.length + 1);
                arguments[values.length] = cause;
            }
            switch (level) {
                case ERROR -> logger.error(event.text(), arguments);
                case WARN -> logger.warn(event.text(), arguments);
                default -> logger.info(event.text(), arguments);
            }
            return;
        }
        LoggingEventBuilder builder = logger.atLevel(level).setMessage(event.text()).addKeyValue("event", event.id());
        for (int i = 0; i < values.length; i++) {
            builder = builder.addArgument(values[i]).addKeyValue(event.fields().get(i),
                    values[i] instanceof Number || values[i] instanceof Boolean ? values[i] : String.valueOf(values[i]));
        }
        (cause == null ? builder : builder.setCause(cause)).log();
    }
}
