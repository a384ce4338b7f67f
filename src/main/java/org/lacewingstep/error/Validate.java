package org.lacewingstep.error;

import java.time.Duration;

/** Argument checks that throw a {@link RouterException} with {@link ErrorCode#ARGUMENT_INVALID}. */
public final class Validate {
    private static final String STEP = "validate";

    private Validate() {}

    /**
     * Checks that a condition holds.
     *
     * @param condition the condition
     * @param name the argument's name, not null
     * @param requirement the requirement, which completes the message "name must be ...", not null
     * @throws RouterException if the condition is false
     */
    public static void isTrue(final boolean condition, final String name, final String requirement) {
        if (!condition) {
            throw new RouterException(ErrorCode.ARGUMENT_INVALID, STEP, name, name + " must be " + requirement);
        }
    }

    /**
     * Checks that a number is not negative.
     *
     * @param value the number
     * @param name the argument's name, not null
     * @return the number
     * @throws RouterException if the number is negative
     */
    public static long notNegative(final long value, final String name) {
        isTrue(value >= 0, name, "zero or more");
        return value;
    }

    /**
     * Checks that a string is neither null nor blank.
     *
     * @param value the string, may be null
     * @param name the argument's name, not null
     * @return the string, never null
     * @throws RouterException if the string is null or blank
     */
    public static String notBlank(final String value, final String name) {
        isTrue(value != null && !value.isBlank(), name, "a text that is not blank");
        return value;
    }

    /**
     * Checks that a reference is not null.
     *
     * @param <T> the type of the reference
     * @param value the reference, may be null
     * @param name the argument's name, not null
     * @return the reference, never null
     * @throws RouterException if the reference is null
     */
    public static <T> T notNull(final T value, final String name) {
        isTrue(value != null, name, "present");
        return value;
    }

    /**
     * Checks that a duration is longer than zero.
     *
     * @param value the duration, may be null
     * @param name the argument's name, not null
     * @return the duration, never null
     * @throws RouterException if the duration is null, zero or negative
     */
    public static Duration positive(final Duration value, final String name) {
        isTrue(value != null && value.isPositive(), name, "a duration longer than zero");
        return value;
    }
}
