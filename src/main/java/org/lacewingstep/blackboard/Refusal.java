package org.lacewingstep.blackboard;

import java.time.Duration;

import org.lacewingstep.error.ErrorCode;

/**
 * Why a request was not run.
 *
 * @param code the code, not null
 * @param message what a caller may read, not null
 * @param retryAfter when to try again, zero if that is pointless
 */
public record Refusal(ErrorCode code, String message, Duration retryAfter) {
    /**
     * Creates a refusal that gives no time to try again.
     *
     * @param code the code, not null
     * @param message what a caller may read, not null
     * @return the refusal, never null
     */
    public static Refusal of(final ErrorCode code, final String message) {
        return new Refusal(code, message, Duration.ZERO);
    }
}
