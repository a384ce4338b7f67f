package org.lacewingstep.error;

/** An error with a stable code, the step that failed, and the process or resource on which the step failed. */
public final class RouterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String subject;
    private final String step;

    /**
     * Creates an error.
     *
     * @param code the stable code, not null
     * @param step the step that failed, not null
     * @param subject the process, resource or argument on which the step failed, not null
     * @param message the description of the error, not null
     */
    public RouterException(final ErrorCode code, final String step, final String subject, final String message) {
        this(code, step, subject, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the stable code, not null
     * @param step the step that failed, not null
     * @param subject the process, resource or argument on which the step failed, not null
     * @param message the description of the error, not null
     * @param cause the exception that caused this error, may be null
     */
    public RouterException(
            final ErrorCode code,
            final String step,
            final String subject,
            final String message,
            final Throwable cause) {
        super(message, cause);
        this.code = code;
        this.step = step;
        this.subject = subject;
    }

    /**
     * Returns the stable code.
     *
     * @return the code, never null
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the process, resource or argument on which the step failed.
     *
     * @return the name of the process, resource or argument, never null
     */
    public String subject() {
        return subject;
    }

    /**
     * Returns the step that failed.
     *
     * @return the step, never null
     */
    public String step() {
        return step;
    }

    @Override
    public String toString() {
        return code + " at " + step + " with " + subject + ": " + getMessage();
    }
}
