package org.lacewingstep.error;

/** An error that carries its code, the step and the peer at which it arose. */
public final class RouterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String peer;
    private final String step;

    /**
     * Creates an error.
     *
     * @param code the stable code, not null
     * @param step the step that failed, not null
     * @param peer the process or resource concerned, not null
     * @param message what happened, not null
     */
    public RouterException(final ErrorCode code, final String step, final String peer, final String message) {
        this(code, step, peer, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the stable code, not null
     * @param step the step that failed, not null
     * @param peer the process or resource concerned, not null
     * @param message what happened, not null
     * @param cause the cause, may be null
     */
    public RouterException(
            final ErrorCode code, final String step, final String peer, final String message, final Throwable cause) {
        super(message, cause);
        this.code = code;
        this.step = step;
        this.peer = peer;
    }

    /**
     * Gets the stable code.
     *
     * @return the code, never null
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Gets the process or resource concerned.
     *
     * @return the peer, never null
     */
    public String peer() {
        return peer;
    }

    /**
     * Gets the step that failed.
     *
     * @return the step, never null
     */
    public String step() {
        return step;
    }

    @Override
    public String toString() {
        return code + " at " + step + " with " + peer + ": " + getMessage();
    }
}
