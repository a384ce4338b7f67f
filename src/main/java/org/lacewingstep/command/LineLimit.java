package org.lacewingstep.command;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Bounds the lines logged in a second and counts those that are dropped. */
final class LineLimit extends Filter<ILoggingEvent> {
    /** Lines a second; a few for each of some hundred requests. */
    static final int LINES_PER_SECOND = 500;

    private static final Logger LOGGER = LoggerFactory.getLogger(LineLimit.class);
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private long dropped;
    private int lines;
    private long second;

    @Override
    public FilterReply decide(final ILoggingEvent event) {
        final long missing = count(event.getTimeStamp() / MILLISECONDS_PER_SECOND);
        if (missing > 0) {
            LOGGER.atWarn()
                    .addKeyValue("step", "log")
                    .addKeyValue("dropped", missing)
                    .log("lines were dropped");
        }
        return missing < 0 ? FilterReply.DENY : FilterReply.NEUTRAL;
    }

    /**
     * Counts a line.
     *
     * @return the lines dropped before it that are not reported yet, negative if it is dropped itself
     */
    private synchronized long count(final long now) {
        if (now == second) {
            lines++;
            if (lines > LINES_PER_SECOND) {
                dropped++;
                return -1;
            }
            return 0;
        }
        final long missing = dropped;
        second = now;
        lines = 1;
        dropped = 0;
        return missing;
    }
}
