package org.lacewingstep.placement;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.domain.Urgency;

/**
 * Forecasts when memory for a queued call comes free. Answers bursts in which calls would wait until their time is
 * over: a call that cannot get a place in time is refused as soon as the forecast says so, and its caller returns when
 * a place is likely.
 */
public final class PlaceForecast {
    /** Longest forecast; what is further away is not predictable from the recent past. */
    private static final Duration MAX_FORECAST = Duration.ofMinutes(1);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Part of the released memory that calls of each urgency receive, however many more urgent ones arrive. */
    private static final double MIN_SHARE = 0.125;

    private PlaceForecast() {}

    /**
     * Forecasts the time until a call finds memory behind the calls ahead of it and the more urgent ones that arrive.
     *
     * @param demand the calls that ask for memory of the service, not null
     * @param urgency the urgency of the call, not null
     * @param arriving whether the call arrives now, so that all queued calls of its urgency are ahead of it
     * @param tokens the memory that the call needs, in tokens
     * @return the time, empty if no memory was returned lately, so that nothing can be said
     */
    public static Optional<Duration> timeToPlace(
            final ServiceDemand demand, final Urgency urgency, final boolean arriving, final long tokens) {
        final double released = demand.releaseRate();
        if (released <= 0) {
            return Optional.empty();
        }
        final double rate = Math.max(released * MIN_SHARE, released - demand.arrivalRateBefore(urgency, false));
        final double seconds = (demand.queuedTokensBefore(urgency, arriving) + tokens) / rate;
        return Optional.of(Duration.ofNanos(
                (long) (Math.min(seconds, ServiceDemand.seconds(MAX_FORECAST)) * NANOSECONDS_PER_SECOND)));
    }
}
