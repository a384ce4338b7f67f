package org.lacewingstep.traffic;

import java.time.Duration;

import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.error.ErrorCode;

/** Thrown when a request fails; the code and the message are sent to the caller. */
final class RequestFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final boolean mayHaveRun;
    private final Duration retryAfter;

    private RequestFailure(
            final ErrorCode code, final String message, final boolean mayHaveRun, final Duration retryAfter) {
        super(message);
        this.code = code;
        this.mayHaveRun = mayHaveRun;
        this.retryAfter = retryAfter;
    }

    /**
     * Creates the failure of a request that may have run.
     *
     * @param code the error code for the caller, not null
     * @param message the message for the caller, not null
     * @return the failure of the request, never null
     */
    static RequestFailure mayHaveRun(final ErrorCode code, final String message) {
        return new RequestFailure(code, message, true, Duration.ZERO);
    }

    /**
     * Creates the failure of a request that was not run.
     *
     * @param refusal the code, message and retry delay for the caller, not null
     * @return the failure of the request, never null
     */
    static RequestFailure notRun(final Refusal refusal) {
        return new RequestFailure(refusal.code(), refusal.message(), false, refusal.retryAfter());
    }

    /**
     * Returns the error code for the caller.
     *
     * @return the error code, never null
     */
    ErrorCode code() {
        return code;
    }

    /**
     * Returns whether an upstream may have run the request.
     *
     * @return true unless the request is known not to have run
     */
    boolean hasPossiblyRun() {
        return mayHaveRun;
    }

    /**
     * Returns the delay after which the caller may retry.
     *
     * @return the delay, zero if a retry is not advised
     */
    Duration retryAfter() {
        return retryAfter;
    }
}
