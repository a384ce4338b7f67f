package org.lacewingstep.traffic;

import java.time.Duration;

import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.error.ErrorCode;

/** Ends the work on a request with an error that its caller sees. */
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
     * @param code the code, not null
     * @param message what the caller may read, not null
     * @return the failure, never null
     */
    static RequestFailure mayHaveRun(final ErrorCode code, final String message) {
        return new RequestFailure(code, message, true, Duration.ZERO);
    }

    /**
     * Creates the failure of a request that was not run.
     *
     * @param refusal the reason, not null
     * @return the failure, never null
     */
    static RequestFailure notRun(final Refusal refusal) {
        return new RequestFailure(refusal.code(), refusal.message(), false, refusal.retryAfter());
    }

    /**
     * Gets the code.
     *
     * @return the code, never null
     */
    ErrorCode code() {
        return code;
    }

    /**
     * Tells whether an upstream may have run the request.
     *
     * @return true if it may
     */
    boolean hasMaybeRun() {
        return mayHaveRun;
    }

    /**
     * Gets when to try again.
     *
     * @return the time, zero if that is pointless
     */
    Duration retryAfter() {
        return retryAfter;
    }
}
