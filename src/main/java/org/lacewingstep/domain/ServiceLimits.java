package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Limits of a service and its upstreams, set by the operators.
 *
 * @param name the name of the service, not null
 * @param connectionLimit largest number of connections that one upstream accepts from all instances together, positive
 * @param memoryTokens number of tokens that fit into the memory of one upstream, zero if upstreams keep no tokens
 * @param reservationLimit longest time for which an upstream reserves memory, zero if its upstreams reserve no memory
 * @param coldRequestsPerSecond requests per second that an upstream can serve during a cold start, zero if upstreams
 *     have no cold start
 */
public record ServiceLimits(
        ServiceName name,
        int connectionLimit,
        long memoryTokens,
        Duration reservationLimit,
        double coldRequestsPerSecond) {
    /** Validates the components. */
    public ServiceLimits {
        Validate.notNull(name, "service");
        Validate.isTrue(connectionLimit > 0, "connection limit", "more than zero");
        Validate.notNegative(memoryTokens, "memory tokens");
        Validate.notNull(reservationLimit, "reservation limit");
        Validate.isTrue(coldRequestsPerSecond >= 0, "cold requests", "zero or more");
    }
}
