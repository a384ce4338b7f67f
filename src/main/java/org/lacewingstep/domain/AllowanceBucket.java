package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * A token bucket that one request may overdraw, so that a stream of small requests cannot starve a large one.
 *
 * <p>The units spent in any window are at most the sum of the capacity, the units accrued in the window, the overdraft
 * permitted before a request, and the units of one request.
 *
 * @param unitsPerSecond the rate in units per second, not negative
 * @param capacity the largest level in units, not negative
 * @param level the number of units at {@code updatedAt}, negative after an overdraft
 * @param pace the units per second that other instances have spent lately, a decaying mean
 * @param held the units of requests that wait, which may come back; the bucket fills only up to what is left of its
 *     capacity, not negative
 * @param updatedAt the time for which {@code level} was computed, not null
 */
public record AllowanceBucket(
        double unitsPerSecond, double capacity, double level, double pace, double held, Instant updatedAt) {
    private static final double MAX_WAIT_SECONDS = 60;

    /** Time constant of the decaying mean; some intervals at which reports of other instances arrive. */
    private static final double PACE_SECONDS = 0.6;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Validates the components. */
    public AllowanceBucket {
        Validate.isTrue(unitsPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(level <= capacity, "level", "no more than the capacity");
        Validate.isTrue(pace >= 0, "pace", "zero or more");
        Validate.isTrue(held >= 0, "held", "zero or more");
        Validate.notNull(updatedAt, "update time");
    }

    /**
     * Creates a bucket from which no other instance has spent yet.
     *
     * @param unitsPerSecond the rate in units per second, not negative
     * @param capacity the largest level in units, not negative
     * @param level the number of units at {@code updatedAt}
     * @param updatedAt the time for which {@code level} was computed, not null
     */
    public AllowanceBucket(
            final double unitsPerSecond, final double capacity, final double level, final Instant updatedAt) {
        this(unitsPerSecond, capacity, level, 0, 0, updatedAt);
    }

    /**
     * Adds the units accrued at the previous rate and replaces rate and capacity.
     *
     * @param newRate the rate from {@code now} on, in units per second
     * @param newCapacity the largest level from {@code now} on, in units
     * @param now the present time, not null
     * @return the bucket at {@code now}, never null
     */
    public AllowanceBucket withLimits(final double newRate, final double newCapacity, final Instant now) {
        final double elapsedSeconds =
                Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        final double highest = Math.max(Math.min(level, newCapacity), newCapacity - held);
        final double refilledLevel = Math.min(highest, level + elapsedSeconds * unitsPerSecond);
        final double decayedPace = pace * Math.exp(-elapsedSeconds / PACE_SECONDS);
        return new AllowanceBucket(newRate, newCapacity, refilledLevel, decayedPace, held, now);
    }

    /**
     * Spends the units of a request; the level may become negative.
     *
     * @param units the units to spend, not negative
     * @return the bucket after the spending, never null
     */
    public AllowanceBucket spend(final double units) {
        return new AllowanceBucket(unitsPerSecond, capacity, level - units, pace, held, updatedAt);
    }

    /**
     * Spends the units of a request that waits and may give them back.
     *
     * @param units the units of the request
     * @return the bucket, never null
     */
    public AllowanceBucket hold(final double units) {
        return new AllowanceBucket(unitsPerSecond, capacity, level - units, pace, held + units, updatedAt);
    }

    /**
     * Notes that a request no longer waits, since it is sent or has ended.
     *
     * @param units the units of the request
     * @return the bucket, never null
     */
    public AllowanceBucket release(final double units) {
        return new AllowanceBucket(unitsPerSecond, capacity, level, pace, Math.max(0, held - units), updatedAt);
    }

    /**
     * Returns the units of a request that was not sent.
     *
     * @param units the units, not negative
     * @return the bucket with the units, never null
     */
    public AllowanceBucket giveBack(final double units) {
        return new AllowanceBucket(unitsPerSecond, capacity, Math.min(capacity, level + units), pace, held, updatedAt);
    }

    /**
     * Spends the units that another instance has reported; the level may become negative.
     *
     * @param units the units that were spent, not negative
     * @return the bucket after the spending, never null
     */
    public AllowanceBucket spendElsewhere(final double units) {
        return new AllowanceBucket(
                unitsPerSecond, capacity, level - units, pace + units / PACE_SECONDS, held, updatedAt);
    }

    /**
     * Returns whether the bucket empties soon, so that the instances need to know of each other's spending early.
     *
     * @return true if less than half is left or if other instances spend more than the rate
     */
    public boolean isUnderPressure() {
        return level < capacity / 2 || pace > unitsPerSecond;
    }

    /**
     * Returns whether a request may be sent.
     *
     * @param overdraft the permitted overdraft before the request, in units, not negative
     * @return true if the level is above {@code -overdraft}
     */
    public boolean isOpen(final double overdraft) {
        return level > -overdraft;
    }

    /**
     * Computes the time until a request may be sent without a prior overdraft.
     *
     * @return the time until the level reaches one unit, at most 60 seconds; zero if a request may be sent now
     */
    public Duration timeUntilOpen() {
        if (isOpen(0)) {
            return Duration.ZERO;
        }
        final double waitSeconds = unitsPerSecond == 0 ? MAX_WAIT_SECONDS : (1 - level) / unitsPerSecond;
        return Duration.ofNanos((long) (Math.min(waitSeconds, MAX_WAIT_SECONDS) * NANOSECONDS_PER_SECOND));
    }
}
