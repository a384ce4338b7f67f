package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * Retry budget: each first attempt of a request earns a fraction of a retry, and a fixed allowance accrues over time.
 *
 * <p>The retries in any window are at most the sum of the capacity, the allowance accrued in the window, and the credit
 * earned by first attempts in the window.
 *
 * @param credits the number of retries that may be sent now, not negative
 * @param capacity the largest number of credits that can accumulate, not negative
 * @param perSecond the number of credits that accrue per second, not negative
 * @param updatedAt the time for which {@code credits} was computed, not null
 */
public record RetryBudget(double credits, double capacity, double perSecond, Instant updatedAt) {
    /** Budget with no credits and no capacity. */
    public static final RetryBudget NONE = new RetryBudget(0, 0, 0, Instant.EPOCH);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Validates the numbers. */
    public RetryBudget {
        Validate.isTrue(credits >= 0, "credits", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(perSecond >= 0, "credits a second", "zero or more");
    }

    /**
     * Adds the accrued credits and replaces the fixed allowance.
     *
     * <p>Half of the allowance becomes the capacity; the other half accrues over the window. A budget whose capacity
     * was zero starts with half of the new capacity.
     *
     * @param allowance the number of retries allowed in a window in addition to the earned ones
     * @param window the length of the window, positive
     * @param now the present time, not null
     * @return the budget at {@code now} with the new allowance, never null
     */
    public RetryBudget withAllowance(final double allowance, final Duration window, final Instant now) {
        final double newCapacity = allowance / 2;
        final double newPerSecond = newCapacity * NANOSECONDS_PER_SECOND / window.toNanos();
        final double elapsedSeconds =
                Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        final double accrued = capacity == 0 ? newCapacity / 2 : credits + elapsedSeconds * perSecond;
        final double newCredits = Math.min(newCapacity, accrued);
        return new RetryBudget(newCredits, newCapacity, newPerSecond, now);
    }

    /**
     * Adds the credit that a first attempt earns.
     *
     * @param share the fraction of a retry to add, zero or more
     * @return the changed budget, never null
     */
    public RetryBudget earn(final double share) {
        return new RetryBudget(Math.min(capacity, credits + share), capacity, perSecond, updatedAt);
    }

    /**
     * Spends the credit of one retry.
     *
     * @return the changed budget, never null
     */
    public RetryBudget spend() {
        return new RetryBudget(Math.max(0, credits - 1), capacity, perSecond, updatedAt);
    }

    /**
     * Returns whether a retry may be sent.
     *
     * @return true if at least one whole credit is available
     */
    public boolean permitsRetry() {
        return credits >= 1;
    }
}
