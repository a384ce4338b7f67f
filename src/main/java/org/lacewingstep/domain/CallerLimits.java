package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Size and time limits of requests from callers.
 *
 * @param headerBytes largest size of a request head in bytes
 * @param bodyBytes largest size of a request body in bytes
 * @param headerLimit longest time in which a caller may send a request head, positive
 * @param idleLimit longest time that a connection may stay idle, positive
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerLimit, Duration idleLimit) {
    /** Limits that apply until the first routing table is read. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Validates the components. */
    public CallerLimits {
        Validate.isTrue(headerBytes > 0, "header bytes", "more than zero");
        Validate.isTrue(bodyBytes > 0, "body bytes", "more than zero");
        Validate.positive(headerLimit, "header limit");
        Validate.positive(idleLimit, "idle limit");
    }
}
