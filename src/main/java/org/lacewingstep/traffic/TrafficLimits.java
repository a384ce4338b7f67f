package org.lacewingstep.traffic;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Limits of what callers send.
 *
 * @param bodyBytes largest body in bytes
 * @param bytesPerToken bytes of a prompt that count as one token
 * @param idleLimit how long a caller's connection may stay idle between and during requests, not null
 * @param answerLimit how long a caller may wait for its answer, not null
 */
public record TrafficLimits(int bodyBytes, int bytesPerToken, Duration idleLimit, Duration answerLimit) {
    /** Checks the limits. */
    public TrafficLimits {
        Validate.isTrue(bodyBytes > 0, "body_bytes", "more than zero");
        Validate.isTrue(bytesPerToken > 0, "bytes_per_token", "more than zero");
        Validate.positive(idleLimit, "idle limit");
        Validate.positive(answerLimit, "answer limit");
    }

    /**
     * Counts the tokens of a prompt, rounded up.
     *
     * @param bytes the prompt's length in bytes
     * @return the tokens
     */
    long tokens(final long bytes) {
        return Math.ceilDiv(bytes, bytesPerToken);
    }
}
