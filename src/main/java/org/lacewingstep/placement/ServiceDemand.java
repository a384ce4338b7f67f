package org.lacewingstep.placement;

import java.time.Duration;
import java.util.Map;

import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.error.Validate;

/**
 * The calls of a service at all instances that wait for memory, by urgency, and how fast memory is asked for and
 * returned.
 *
 * @param byUrgency the demand of each urgency, not null
 * @param period the period in which arrivals and ends were counted, positive
 */
public record ServiceDemand(Map<Urgency, Demand> byUrgency, Duration period) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Copies the map and validates the period. */
    public ServiceDemand {
        byUrgency = Map.copyOf(byUrgency);
        Validate.positive(period, "period");
    }

    /**
     * Sums the memory that queued calls need whose urgency precedes another one.
     *
     * @param urgency the other urgency, not null
     * @param orEqual whether calls of the other urgency are included
     * @return the memory in tokens
     */
    public long queuedTokensBefore(final Urgency urgency, final boolean orEqual) {
        return byUrgency.entrySet().stream()
                .filter(entry -> precedes(entry.getKey(), urgency, orEqual))
                .mapToLong(entry -> entry.getValue().queuedTokens())
                .sum();
    }

    /**
     * Computes how fast calls arrive whose urgency precedes another one.
     *
     * @param urgency the other urgency, not null
     * @param orEqual whether calls of the other urgency are included
     * @return the memory that the calls of one second need, in tokens
     */
    public double arrivalRateBefore(final Urgency urgency, final boolean orEqual) {
        return byUrgency.entrySet().stream()
                        .filter(entry -> precedes(entry.getKey(), urgency, orEqual))
                        .mapToLong(entry -> entry.getValue().arrivedTokens())
                        .sum()
                / seconds(period);
    }

    /**
     * Computes how fast calls of all urgencies return memory.
     *
     * @return the memory returned in one second, in tokens
     */
    public double releaseRate() {
        return byUrgency.values().stream().mapToLong(Demand::releasedTokens).sum() / seconds(period);
    }

    private static boolean precedes(final Urgency urgency, final Urgency other, final boolean orEqual) {
        return urgency.isBefore(other) || orEqual && urgency.equals(other);
    }

    /**
     * Converts a duration to seconds.
     *
     * @param duration the duration, not null
     * @return the number of seconds
     */
    static double seconds(final Duration duration) {
        return duration.toNanos() / NANOSECONDS_PER_SECOND;
    }
}
