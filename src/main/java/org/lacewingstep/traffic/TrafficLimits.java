package org.lacewingstep.traffic;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * Limits of callers' requests.
 *
 * @param bodyBytes the largest request body in bytes
 * @param bytesPerToken the number of prompt bytes that count as one token
 * @param idleLimit the idle timeout of a caller's connection between requests and while a body is read, not null
 * @param responseLimit the idle timeout of a caller's connection from the end of the request body, not null
 */
public record TrafficLimits(int bodyBytes, int bytesPerToken, Duration idleLimit, Duration responseLimit) {
    /** Checks that all limits are positive. */
    public TrafficLimits {
        Validate.isTrue(bodyBytes > 0, "body_bytes", "more than zero");
        Validate.isTrue(bytesPerToken > 0, "bytes_per_token", "more than zero");
        Validate.positive(idleLimit, "idle limit");
        Validate.positive(responseLimit, "answer limit");
    }

    /**
     * Estimates the number of tokens of a prompt, rounded up.
     *
     * @param bytes the prompt's length in bytes
     * @return the number of tokens
     */
    long estimateTokens(final long bytes) {
        return Math.ceilDiv(bytes, bytesPerToken);
    }
}
