package org.lacewingstep.placement;

import org.lacewingstep.domain.SpeedSum;

/** Forecasts how long work takes at an upstream, from what was measured there and at its whole service. */
public final class UpstreamForecast {
    /**
     * Deviation of an upstream from its service that counts as none, as a logarithm; upstreams of equal speed differ by
     * as much through the sizes of their calls.
     */
    static final double USUAL_DEVIATION = 0.12;

    /** Limit of the slowness and of its inverse; a slower upstream is still tried now and then. */
    static final double MAX_SLOWNESS = 8;

    /** Fraction of a target that waiting and running at an upstream may take; the rest is for the way. */
    private static final double ON_TIME_FRACTION = 0.8;

    private UpstreamForecast() {}

    /**
     * Computes how much slower an upstream is than its service. What was measured counts by its weight; the service
     * counts as one sample.
     *
     * @param upstream the sum of the upstream at the present time, not null
     * @param service the sum of its service at the present time, not null
     * @return the factor, 1 for an upstream whose speed is unknown or usual
     */
    public static double slowness(final SpeedSum upstream, final SpeedSum service) {
        if (upstream.weight() <= 0 || service.weight() <= 0) {
            return 1;
        }
        final double usual = Math.exp(service.logSum() / service.weight());
        final double deviation = Math.log(upstream.mean(usual) / usual);
        final double beyondUsual = Math.max(0, Math.abs(deviation) - USUAL_DEVIATION);
        return Math.clamp(Math.exp(Math.copySign(beyondUsual, deviation)), 1 / MAX_SLOWNESS, MAX_SLOWNESS);
    }

    /**
     * Computes the time for a unit of work at an upstream.
     *
     * @param upstream the sum of the upstream at the present time, not null
     * @param service the sum of its service at the present time, not null
     * @return the seconds for a unit, zero if nothing was measured
     */
    public static double secondsPerUnit(final SpeedSum upstream, final SpeedSum service) {
        return service.weight() <= 0 ? 0 : upstream.mean(Math.exp(service.logSum() / service.weight()));
    }

    /**
     * Forecasts when an upstream has worked off what runs there and one more piece of work.
     *
     * @param running the units that run or wait there, not negative
     * @param units the units of the new work, not negative
     * @param slots how many units are worked on at the same time, positive
     * @param secondsPerUnit the time for one unit, not negative
     * @return the seconds until the new work is done
     */
    public static double completion(
            final double running, final double units, final int slots, final double secondsPerUnit) {
        return secondsPerUnit * Math.max(units, (running + units) / slots);
    }

    /**
     * Computes how many calls an upstream may hold so that the last one completes on time.
     *
     * @param slots the number of calls that run at the same time, positive
     * @param secondsPerCall the time for one call, zero if unknown
     * @param targetSeconds the time within which a response counts as on time, positive
     * @return the number of calls, at least the slots
     */
    public static double callsOnTime(final int slots, final double secondsPerCall, final double targetSeconds) {
        return secondsPerCall <= 0
                ? Double.MAX_VALUE
                : slots * Math.max(1, ON_TIME_FRACTION * targetSeconds / secondsPerCall);
    }

    /**
     * Computes the fraction of a call's time that an engine spends on reading some tokens of the prompt.
     *
     * @param tokens the tokens, not negative
     * @param prompt the tokens of the whole prompt, not negative
     * @param output the permitted output in tokens, not negative
     * @param secondsPerToken the time for a prompt token, zero if unknown
     * @param secondsPerEvent the time for an event of the output, zero if unknown
     * @return the fraction, from 0 to 1; zero if a speed is unknown
     */
    public static double readingFraction(
            final double tokens,
            final double prompt,
            final double output,
            final double secondsPerToken,
            final double secondsPerEvent) {
        if (secondsPerToken <= 0 || secondsPerEvent <= 0) {
            return 0;
        }
        return tokens * secondsPerToken / (prompt * secondsPerToken + output * secondsPerEvent);
    }
}
