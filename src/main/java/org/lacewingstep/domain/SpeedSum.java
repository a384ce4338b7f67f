package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * Sum of measured durations of a unit of work, in which a sample counts half after each half-life. Sums of several
 * instances are added. The mean is geometric, so a pause that a few samples fall into changes it little.
 *
 * @param samples the number of samples ever added, which tells a later state of a sum from an earlier one
 * @param weight the sum of the weights of the samples at {@code at}, not negative
 * @param logSum the weighted sum of the logarithms of the seconds per unit at {@code at}
 * @param at the time for which the sum was computed, not null
 */
public record SpeedSum(long samples, double weight, double logSum, Instant at) {
    /** A sum without samples. */
    public static final SpeedSum NONE = new SpeedSum(0, 0, 0, Instant.EPOCH);

    /** Time after which a sample counts half. */
    public static final Duration HALF_LIFE = Duration.ofSeconds(4);

    /** Largest factor between a sample and the mean before it; a sample beyond it counts as one at the limit. */
    private static final double MAX_DEVIATION = 4;

    /** Weight of the samples from which the mean limits the deviation of a sample. */
    private static final double MIN_WEIGHT_FOR_LIMIT = 3;

    /** Validates the weight. */
    public SpeedSum {
        Validate.notNegative(samples, "samples");
        Validate.isTrue(weight >= 0 && Double.isFinite(weight), "weight", "zero or more");
        Validate.isTrue(Double.isFinite(logSum), "sum", "finite");
        Validate.notNull(at, "time");
    }

    /**
     * Computes the sum for another time. A time before that of the sum leaves the sum unchanged.
     *
     * @param now the time, not null
     * @return the sum with the weights of that time, never null
     */
    public SpeedSum at(final Instant now) {
        if (!now.isAfter(at)) {
            return this;
        }
        final double halfLives = Duration.between(at, now).toMillis() / (double) HALF_LIFE.toMillis();
        final double factor = Math.pow(0.5, halfLives);
        return new SpeedSum(samples, weight * factor, logSum * factor, now);
    }

    /**
     * Adds a sample.
     *
     * @param seconds the measured seconds per unit of work, positive
     * @param now the present time, not null
     * @return the sum, never null
     */
    public SpeedSum plusSample(final double seconds, final Instant now) {
        final SpeedSum present = at(now);
        return new SpeedSum(samples + 1, present.weight + 1, present.logSum + Math.log(seconds), present.at);
    }

    /**
     * Adds another sum.
     *
     * @param other the other sum, not null
     * @param now the present time, not null
     * @return the sum of both, never null
     */
    public SpeedSum plus(final SpeedSum other, final Instant now) {
        final SpeedSum present = at(now);
        final SpeedSum added = other.at(now);
        return new SpeedSum(
                samples + other.samples, present.weight + added.weight, present.logSum + added.logSum, present.at);
    }

    /**
     * Subtracts a sum that was added before.
     *
     * @param other the other sum, not null
     * @param now the present time, not null
     * @return the rest, never null
     */
    public SpeedSum minus(final SpeedSum other, final Instant now) {
        final SpeedSum present = at(now);
        final SpeedSum removed = other.at(now);
        return new SpeedSum(
                Math.max(0, samples - other.samples),
                Math.max(0, present.weight - removed.weight),
                present.logSum - removed.logSum,
                present.at);
    }

    /**
     * Limits the deviation of a sample from the mean, so that a single pause changes the mean little.
     *
     * @param seconds the measured seconds per unit of work, positive
     * @return the seconds to add, positive
     */
    public double limit(final double seconds) {
        if (weight < MIN_WEIGHT_FOR_LIMIT) {
            return seconds;
        }
        final double mean = Math.exp(logSum / weight);
        return Math.clamp(seconds, mean / MAX_DEVIATION, mean * MAX_DEVIATION);
    }

    /**
     * Computes the mean with a prior that counts as one sample, so that few samples change it little.
     *
     * @param prior the seconds per unit that are expected without samples, positive
     * @return the seconds per unit of work, positive
     */
    public double mean(final double prior) {
        return Math.exp((logSum + Math.log(prior)) / (weight + 1));
    }
}
