package org.lacewingstep.traffic;

import java.time.Duration;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.upstream.ExchangeEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs what happens between the choice of an upstream and the end of an attempt.
 *
 * @param request the identifier of the call, not null
 */
record ExchangeLog(RequestIdentifier request) {
    private static final Logger LOGGER = LoggerFactory.getLogger(ExchangeLog.class);

    /** Time after which a processed prompt is logged, since the choice of the decode upstream may be outdated. */
    private static final Duration LATE_PROMPT = Duration.ofMillis(500);

    /**
     * Logs that an exchange failed.
     *
     * @param upstream the upstream, not null
     * @param failed the failure, not null
     */
    void failed(final RegisteredUpstream upstream, final ExchangeEvent.Failed failed) {
        LOGGER.atInfo()
                .addKeyValue("step", "exchange")
                .addKeyValue("request", request)
                .addKeyValue("upstream", upstream.name())
                .addKeyValue("sent", failed.sent())
                .log("exchange failed: {}", failed.reason());
    }

    /**
     * Logs that the upstream chosen for a call accepts no requests any more.
     *
     * @param upstream the upstream, not null
     */
    void notSent(final RegisteredUpstream upstream) {
        LOGGER.atInfo()
                .addKeyValue("step", "exchange")
                .addKeyValue("request", request)
                .addKeyValue("upstream", upstream.name())
                .log("not sent: the upstream accepts no requests any more");
    }

    /**
     * Logs a prompt that was processed late.
     *
     * @param upstream the decode upstream, chosen before the prompt was sent, not null
     * @param elapsed the time since the prompt was sent, not null
     */
    void promptProcessed(final RegisteredUpstream upstream, final Duration elapsed) {
        if (elapsed.compareTo(LATE_PROMPT) >= 0) {
            LOGGER.atInfo()
                    .addKeyValue("step", "prefill")
                    .addKeyValue("request", request)
                    .addKeyValue("upstream", upstream.name())
                    .addKeyValue("took_ms", elapsed.toMillis())
                    .log("prompt processed late");
        }
    }
}
