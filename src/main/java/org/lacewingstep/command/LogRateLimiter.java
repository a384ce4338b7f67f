package org.lacewingstep.command;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Limits the number of lines logged per second and reports how many lines were dropped. */
final class LogRateLimiter extends Filter<ILoggingEvent> {
    /** Most lines logged per second; enough for a few lines for each of some hundred requests. */
    static final int MAX_LINES_PER_SECOND = 500;

    private static final Logger LOGGER = LoggerFactory.getLogger(LogRateLimiter.class);
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private long dropped;
    private int linesInSecond;
    private long currentSecond;

    @Override
    public FilterReply decide(final ILoggingEvent event) {
        final long droppedBefore = countLine(event.getTimeStamp() / MILLISECONDS_PER_SECOND);
        if (droppedBefore > 0) {
            LOGGER.atWarn()
                    .addKeyValue("step", "log")
                    .addKeyValue("dropped", droppedBefore)
                    .log("lines were dropped");
        }
        return droppedBefore < 0 ? FilterReply.DENY : FilterReply.NEUTRAL;
    }

    /**
     * Counts a line against the limit of its second.
     *
     * @return the number of earlier dropped lines that no log line has reported yet, negative if this line is dropped
     */
    private synchronized long countLine(final long epochSecond) {
        if (epochSecond == currentSecond) {
            linesInSecond++;
            if (linesInSecond > MAX_LINES_PER_SECOND) {
                dropped++;
                return -1;
            }
            return 0;
        }
        final long droppedBefore = dropped;
        currentSecond = epochSecond;
        linesInSecond = 1;
        dropped = 0;
        return droppedBefore;
    }
}
