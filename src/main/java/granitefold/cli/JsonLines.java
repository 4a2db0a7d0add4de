package granitefold.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import granitefold.logging.EventLog;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/**
 * Configures logging as JSON, one object per line, through Logback and its Logstash encoder. Must be called before the first logger
 * is created. Text logging uses slf4j-simple, which starts faster (docs/design/balancer-checks.md has the figures).
 */
final class JsonLines {
    private JsonLines() { }

    static void configure() {
        System.setProperty("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.setIncludeMdc(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setEncoder(encoder);
        out.start();
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(out);
        EventLog.structured(true);
    }
}
