package org.lacewingstep.control;

import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes each decision to the log as one entry with key-value pairs. */
public final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger(DecisionLog.class);

    /**
     * Writes a decision to the log.
     *
     * @param decision the decision, not null
     */
    public void write(final Decision decision) {
        LoggingEventBuilder entry = LOGGER.atInfo().addKeyValue("step", decision.step());
        if (decision.request().isPresent()) {
            entry = entry.addKeyValue("request", decision.request().get());
        }
        for (final Input input : decision.inputs()) {
            entry = entry.addKeyValue(input.name(), input.value());
        }
        entry.log(decision.outcome());
    }
}
