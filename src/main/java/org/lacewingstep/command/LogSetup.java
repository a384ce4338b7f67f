package org.lacewingstep.command;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sets the log up as the settings say. */
final class LogSetup {
    private static final String PATTERN = "%d{ISO8601} %-5level [%thread] %logger{0} %kvp %msg%n";

    /** Lines that may wait for a slow reader of the output before lines are dropped. */
    private static final int QUEUE_LINES = 1024;

    private LogSetup() {}

    /**
     * Sets the log up on standard error.
     *
     * @param json whether each line is a JSON object
     * @param level the lowest level logged, not null
     */
    static void configure(final boolean json, final String level) {
        final LoggerContext context = reset();
        install(context, console(context, json ? json() : pattern(), "System.err"), level);
    }

    /**
     * Sets the log up on standard output: JSON lines, bounded in number, written by a thread of their own.
     *
     * @param level the lowest level logged, not null
     */
    static void configureBounded(final String level) {
        final LoggerContext context = reset();
        final AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addFilter(new LineLimit());
        queue.addAppender(console(context, json(), "System.out"));
        queue.start();
        install(context, queue, level);
    }

    private static LoggerContext reset() {
        final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        return context;
    }

    private static void install(
            final LoggerContext context, final Appender<ILoggingEvent> appender, final String level) {
        final Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger("org.lacewingstep").setLevel(Level.toLevel(level));
    }

    private static Appender<ILoggingEvent> console(
            final LoggerContext context, final Encoder<ILoggingEvent> encoder, final String target) {
        encoder.setContext(context);
        encoder.start();
        final ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setTarget(target);
        appender.start();
        return appender;
    }

    private static Encoder<ILoggingEvent> json() {
        final JsonEncoder encoder = new JsonEncoder();
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static Encoder<ILoggingEvent> pattern() {
        final PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(PATTERN);
        return encoder;
    }
}
