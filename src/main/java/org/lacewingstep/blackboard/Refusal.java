package org.lacewingstep.blackboard;

import java.time.Duration;

import org.lacewingstep.error.ErrorCode;

/**
 * The reason why a request was not run, as reported to the caller.
 *
 * @param code the error code, not null
 * @param message the message to the caller, not null
 * @param retryAfter time after which the caller may retry, zero if a retry is pointless
 */
public record Refusal(ErrorCode code, String message, Duration retryAfter) {
    /**
     * Creates a refusal without a time after which the caller may retry.
     *
     * @param code the error code, not null
     * @param message the message to the caller, not null
     * @return the refusal, never null
     */
    public static Refusal of(final ErrorCode code, final String message) {
        return new Refusal(code, message, Duration.ZERO);
    }
}
