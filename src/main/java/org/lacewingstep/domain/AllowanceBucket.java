package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * A token bucket that may be overdrawn by one request, so that large requests get their turn between small ones.
 *
 * <p>In any window, spending is at most the capacity, what the rate gives in the window, the overdraft allowed before a
 * request, and that request.
 *
 * @param unitsPerSecond the rate in units a second, not negative
 * @param capacity the largest level in units, not negative
 * @param level the units held at {@code updatedAt}, negative after an overdraft
 * @param updatedAt when the level was computed, not null
 */
public record AllowanceBucket(double unitsPerSecond, double capacity, double level, Instant updatedAt) {
    private static final double LONGEST_WAIT_SECONDS = 60;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Checks the numbers. */
    public AllowanceBucket {
        Validate.isTrue(unitsPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(level <= capacity, "level", "no more than the capacity");
        Validate.notNull(updatedAt, "update time");
    }

    /**
     * Adds what has accrued, under a rate and a capacity that hold from now on.
     *
     * @param nextRate the rate in units a second
     * @param nextCapacity the largest level in units
     * @param now the present time, not null
     * @return the bucket at that time, never null
     */
    public AllowanceBucket under(final double nextRate, final double nextCapacity, final Instant now) {
        final double seconds = Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        final double refilled = Math.min(nextCapacity, level + seconds * unitsPerSecond);
        return new AllowanceBucket(nextRate, nextCapacity, refilled, now);
    }

    /**
     * Spends units; the last request may take the level below zero.
     *
     * @param units the units, not negative
     * @return the bucket afterwards, never null
     */
    public AllowanceBucket spend(final double units) {
        return new AllowanceBucket(unitsPerSecond, capacity, level - units, updatedAt);
    }

    /**
     * Tells whether a request may be sent.
     *
     * @param overdraft by how much the bucket may be overdrawn before, in units, not negative
     * @return true if the level is above that
     */
    public boolean isOpen(final double overdraft) {
        return level > -overdraft;
    }

    /**
     * Computes when the next request may be sent without an overdraft before it.
     *
     * @return the time until then, zero if one may be sent now
     */
    public Duration untilOpen() {
        if (isOpen(0)) {
            return Duration.ZERO;
        }
        final double seconds = unitsPerSecond == 0 ? LONGEST_WAIT_SECONDS : (1 - level) / unitsPerSecond;
        return Duration.ofNanos((long) (Math.min(seconds, LONGEST_WAIT_SECONDS) * NANOSECONDS_PER_SECOND));
    }
}
