package org.lacewingstep.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sets the log up as the settings say. */
final class LogSetup {
    private static final String PATTERN = "%d{ISO8601} %-5level [%thread] %logger{0} %kvp %msg%n";

    private LogSetup() {}

    /**
     * Sets the log up.
     *
     * @param json whether each line is a JSON object
     * @param level the lowest level logged, not null
     */
    static void configure(final boolean json, final String level) {
        final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        final Encoder<ILoggingEvent> encoder = json ? new JsonEncoder() : pattern();
        encoder.setContext(context);
        encoder.start();
        final ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setTarget("System.err");
        appender.start();
        final Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger("org.lacewingstep").setLevel(Level.toLevel(level));
    }

    private static Encoder<ILoggingEvent> pattern() {
        final PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(PATTERN);
        return encoder;
    }
}
