package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * A sum in which older amounts count less.
 *
 * @param value the sum at {@code updatedAt}
 * @param updatedAt when it was computed, not null
 */
public record DecayingSum(double value, Instant updatedAt) {
    /** The empty sum. */
    public static final DecayingSum ZERO = new DecayingSum(0, Instant.EPOCH);

    /** Time in which an amount falls to about a third. */
    private static final Duration MEMORY = Duration.ofSeconds(3);

    /** Checks the time. */
    public DecayingSum {
        Validate.notNull(updatedAt, "update time");
    }

    /**
     * Adds an amount.
     *
     * @param amount the amount
     * @param now the present time, not null
     * @return the sum with it, never null
     */
    public DecayingSum plus(final double amount, final Instant now) {
        return new DecayingSum(at(now) + amount, now);
    }

    /**
     * Computes the sum.
     *
     * @param now the present time, not null
     * @return the sum
     */
    public double at(final Instant now) {
        final double elapsed = Math.max(0, Duration.between(updatedAt, now).toNanos());
        return value * Math.exp(-elapsed / MEMORY.toNanos());
    }
}
