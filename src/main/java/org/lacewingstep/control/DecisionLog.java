package org.lacewingstep.control;

import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes decisions to the log, a line each. */
public final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger(DecisionLog.class);

    /**
     * Writes a decision.
     *
     * @param decision the decision, not null
     */
    public void write(final Decision decision) {
        LoggingEventBuilder line = LOGGER.atInfo().addKeyValue("step", decision.step());
        if (decision.request().isPresent()) {
            line = line.addKeyValue("request", decision.request().get());
        }
        for (final Input input : decision.inputs()) {
            line = line.addKeyValue(input.name(), input.value());
        }
        line.log(decision.outcome());
    }
}
