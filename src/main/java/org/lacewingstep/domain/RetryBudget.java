package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * Retry budget of a service: each first attempt of a request earns a fraction of a retry, and a fixed allowance accrues
 * over time. A retry takes its credit when it is decided, and reserves it until it is sent or given back.
 *
 * <p>The retries sent in any window are at most the sum of the capacity, the allowance accrued in the window, and the
 * credit earned by first attempts in the window: credits and reserved retries together never exceed the capacity, so
 * retries that wait are among those that the capacity covers.
 *
 * @param credits the number of retries that may be decided now; negative after retries that could not be foreseen
 * @param reserved the number of retries that were decided and not sent yet, not negative
 * @param capacity the largest number of credits that can accumulate, not negative
 * @param perSecond the number of credits that accrue per second, not negative
 * @param updatedAt the time for which {@code credits} was computed, not null
 */
public record RetryBudget(double credits, long reserved, double capacity, double perSecond, Instant updatedAt) {
    /** Budget with no credits and no capacity. */
    public static final RetryBudget NONE = new RetryBudget(0, 0, 0, 0, Instant.EPOCH);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Part of the allowance that may be spent at once, as upstreams fail together; the rest accrues over time. */
    private static final double CAPACITY_FRACTION = 0.75;

    /** Validates the numbers. */
    public RetryBudget {
        Validate.notNegative(reserved, "reserved retries");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(perSecond >= 0, "credits a second", "zero or more");
    }

    /**
     * Adds the accrued credits and replaces the fixed allowance.
     *
     * <p>Three quarters of the allowance become the capacity, or as much as a single retry needs; the rest accrues over
     * the window. A budget whose capacity was zero starts with half of the new capacity.
     *
     * @param allowance the number of retries allowed in a window in addition to the earned ones
     * @param window the length of the window, positive
     * @param now the present time, not null
     * @return the budget at {@code now} with the new allowance, never null
     */
    public RetryBudget withAllowance(final double allowance, final Duration window, final Instant now) {
        final double newCapacity = Math.max(allowance * CAPACITY_FRACTION, Math.min(allowance, 1));
        final double newPerSecond = (allowance - newCapacity) * NANOSECONDS_PER_SECOND / window.toNanos();
        final double elapsedSeconds =
                Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        final double accrued = capacity == 0 ? newCapacity / 2 : credits + elapsedSeconds * perSecond;
        return new RetryBudget(accrued, reserved, newCapacity, newPerSecond, now).limited();
    }

    /**
     * Removes all credits, as after a restart: the retries of the process before are not known.
     *
     * @return the budget without credits, never null
     */
    public RetryBudget withoutCredits() {
        return new RetryBudget(0, reserved, capacity, perSecond, updatedAt);
    }

    /**
     * Adds the credit that a first attempt earns.
     *
     * @param share the fraction of a retry to add, zero or more
     * @return the changed budget, never null
     */
    public RetryBudget earn(final double share) {
        return new RetryBudget(credits + share, reserved, capacity, perSecond, updatedAt).limited();
    }

    /**
     * Takes the credit of a retry that was decided.
     *
     * @return the changed budget, never null
     */
    public RetryBudget reserve() {
        return new RetryBudget(credits - 1, reserved + 1, capacity, perSecond, updatedAt);
    }

    /**
     * Counts a reserved retry as sent.
     *
     * @return the changed budget, never null
     */
    public RetryBudget send() {
        return new RetryBudget(credits, Math.max(0, reserved - 1), capacity, perSecond, updatedAt);
    }

    /**
     * Reserves a retry again that was sent and did not arrive.
     *
     * @return the changed budget, never null
     */
    public RetryBudget undoSend() {
        return new RetryBudget(credits, reserved + 1, capacity, perSecond, updatedAt);
    }

    /**
     * Gives the credit of a reserved retry back.
     *
     * @return the changed budget, never null
     */
    public RetryBudget giveBack() {
        return new RetryBudget(credits + 1, Math.max(0, reserved - 1), capacity, perSecond, updatedAt).limited();
    }

    /**
     * Takes the credit of a retry that has arrived without a reservation; later retries make up for it.
     *
     * @return the changed budget, never null
     */
    public RetryBudget charge() {
        return new RetryBudget(credits - 1, reserved, capacity, perSecond, updatedAt);
    }

    /**
     * Returns whether a retry may be decided.
     *
     * @return true if at least one whole credit is available
     */
    public boolean permitsRetry() {
        return credits >= 1;
    }

    /**
     * Returns whether more retries have arrived than the budget covers.
     *
     * @return true if the credit is below zero
     */
    public boolean isOverdrawn() {
        return credits < 0;
    }

    private RetryBudget limited() {
        return new RetryBudget(Math.min(credits, capacity - reserved), reserved, capacity, perSecond, updatedAt);
    }
}
