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

/** Configures Logback: format, destination and lowest level of log lines. */
final class LogSetup {
    private static final String PATTERN = "%d{ISO8601} %-5level [%thread] %logger{0} %kvp %msg%n";

    /** Log lines buffered while the reader of the output is slow; further lines are dropped. */
    private static final int MAX_QUEUED_LINES = 1024;

    private LogSetup() {}

    /**
     * Configures logging to standard error.
     *
     * @param json whether each line is written as a JSON object
     * @param level the lowest level logged, not null
     */
    static void configure(final boolean json, final String level) {
        final LoggerContext context = reset();
        replaceRootAppender(
                context, consoleAppender(context, json ? jsonEncoder() : patternEncoder(), "System.err"), level);
    }

    /**
     * Configures logging to standard output: JSON lines, limited per second, written by a separate thread.
     *
     * @param level the lowest level logged, not null
     */
    static void configureLimited(final String level) {
        final LoggerContext context = reset();
        final AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(MAX_QUEUED_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addFilter(new LogRateLimiter());
        queue.addAppender(consoleAppender(context, jsonEncoder(), "System.out"));
        queue.start();
        replaceRootAppender(context, queue, level);
    }

    private static LoggerContext reset() {
        final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        return context;
    }

    private static void replaceRootAppender(
            final LoggerContext context, final Appender<ILoggingEvent> appender, final String level) {
        final Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        context.getLogger("org.lacewingstep").setLevel(Level.toLevel(level));
    }

    private static Appender<ILoggingEvent> consoleAppender(
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

    private static Encoder<ILoggingEvent> jsonEncoder() {
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

    private static Encoder<ILoggingEvent> patternEncoder() {
        final PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(PATTERN);
        return encoder;
    }
}
