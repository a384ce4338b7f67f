package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * Credit for repeated requests: first requests earn a share of one, and time adds a fixed allowance.
 *
 * <p>In any window, repeats are at most the capacity, what time adds in the window, and what first requests earn in it.
 *
 * @param credits the repeats that may be sent now, not negative
 * @param capacity the most that is kept
 * @param perSecond what time adds in credits a second
 * @param updatedAt when the credits were computed, not null
 */
public record RetryCredit(double credits, double capacity, double perSecond, Instant updatedAt) {
    /** No credit. */
    public static final RetryCredit NONE = new RetryCredit(0, 0, 0, Instant.EPOCH);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Checks the numbers. */
    public RetryCredit {
        Validate.isTrue(credits >= 0, "credits", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(perSecond >= 0, "credits a second", "zero or more");
    }

    /**
     * Divides the fixed allowance of a window into a capacity and a rate of equal weight; credit that had none before
     * begins with half its capacity.
     *
     * @param allowance repeats allowed in a window beside what is earned
     * @param window the window, not null
     * @param now the present time, not null
     * @return the credit under the new allowance, never null
     */
    public RetryCredit under(final double allowance, final Duration window, final Instant now) {
        final double nextCapacity = allowance / 2;
        final double nextRate = nextCapacity * NANOSECONDS_PER_SECOND / window.toNanos();
        final double elapsed = Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        final double first = capacity == 0 ? nextCapacity / 2 : credits + elapsed * perSecond;
        final double kept = Math.min(nextCapacity, first);
        return new RetryCredit(kept, nextCapacity, nextRate, now);
    }

    /**
     * Adds what a first request earns.
     *
     * @param share the share of a repeat, zero or more
     * @return the credit afterwards, never null
     */
    public RetryCredit earn(final double share) {
        return new RetryCredit(Math.min(capacity, credits + share), capacity, perSecond, updatedAt);
    }

    /**
     * Spends one repeat.
     *
     * @return the credit afterwards, never null
     */
    public RetryCredit spend() {
        return new RetryCredit(Math.max(0, credits - 1), capacity, perSecond, updatedAt);
    }

    /**
     * Tells whether a repeat may be sent.
     *
     * @return true if there is a whole credit
     */
    public boolean affordsOne() {
        return credits >= 1;
    }
}
