package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * What callers may send.
 *
 * @param headerBytes largest request head in bytes
 * @param bodyBytes largest body in bytes
 * @param headerLimit longest time to send a request head, positive
 * @param idleLimit how long a connection may stay idle, positive
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerLimit, Duration idleLimit) {
    /** Limits in force before the first routing table was read. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the parts. */
    public CallerLimits {
        Validate.isTrue(headerBytes > 0, "header bytes", "more than zero");
        Validate.isTrue(bodyBytes > 0, "body bytes", "more than zero");
        Validate.positive(headerLimit, "header limit");
        Validate.positive(idleLimit, "idle limit");
    }
}
