package org.lacewingstep.placement;

import java.time.Duration;

import org.lacewingstep.domain.Urgency;

/**
 * Computes how much memory of a service a call leaves free for more urgent ones. Answers bursts of less urgent calls,
 * which would fill all memory before an urgent call arrives. The reserve covers those urgent calls that arrive beyond
 * the mean until an instance learns that memory was taken and a place has come free again, since memory comes free for
 * the mean meanwhile, and those that wait in a queue anywhere.
 */
public final class UrgentReserve {
    /** Largest part of the memory that is kept free, so that calls of each urgency keep the rest. */
    private static final double MAX_RESERVE = 0.5;

    /** Standard deviations of the number of urgent calls that the reserve covers. */
    private static final double DEVIATIONS = 2;

    private UrgentReserve() {}

    /**
     * Computes the reserve.
     *
     * @param demand the calls that ask for memory of the service, not null
     * @param urgency the urgency of the call, not null
     * @param onTime whether the call can still be on time; one that cannot yields to equally urgent calls too
     * @param callTokens the memory of a typical call, in tokens
     * @param reportDelay the age of what is known about the memory in use, not null
     * @param memory the memory of all upstreams of the service, in tokens
     * @return the part of the memory that the call leaves free, from 0
     */
    public static double fraction(
            final ServiceDemand demand,
            final Urgency urgency,
            final boolean onTime,
            final long callTokens,
            final Duration reportDelay,
            final long memory) {
        final double arrivalRate = demand.arrivalRateBefore(urgency, !onTime);
        final long queued = demand.queuedTokensBefore(urgency, false);
        if (memory <= 0 || callTokens <= 0 || arrivalRate <= 0 && queued == 0) {
            return 0;
        }
        final double releaseRate = demand.releaseRate();
        final double refill = releaseRate > 0 ? callTokens / releaseRate : 0;
        final double arrivals = arrivalRate / callTokens * (ServiceDemand.seconds(reportDelay) + refill);
        final double reserve = queued + DEVIATIONS * Math.sqrt(arrivals) * callTokens;
        return Math.min(MAX_RESERVE, reserve / memory);
    }
}
