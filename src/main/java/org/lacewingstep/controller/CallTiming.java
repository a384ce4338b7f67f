package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.blackboard.CallSection.Call;

/** Computes how long a call has waited and whether it can still be on time. */
final class CallTiming {
    /** Fraction of the latency target that a call may wait before it is sent and still be on time. */
    private static final double ON_TIME_FRACTION = 0.6;

    private CallTiming() {}

    /**
     * Returns whether a call that is sent now can be answered within its latency target.
     *
     * @param call the call, not null
     * @param now the present time, not null
     * @return true if the response can be on time
     */
    static boolean canMeetLatencyTarget(final Call call, final Instant now) {
        return !onTimeLeft(call, now).isNegative();
    }

    /**
     * Computes for how long a call can wait until its response would be late.
     *
     * @param call the call, not null
     * @param now the present time, not null
     * @return the time, negative if the response will be late, never null
     */
    static Duration onTimeLeft(final Call call, final Instant now) {
        return Duration.ofNanos((long) (call.route().latencyTarget().toNanos() * ON_TIME_FRACTION))
                .minus(waited(call, now));
    }

    /**
     * Computes how long a call has been at this instance.
     *
     * @param call the call, not null
     * @param now the present time, not null
     * @return the time since its arrival, never null
     */
    static Duration waited(final Call call, final Instant now) {
        return Duration.between(call.parameters().receivedAt(), now);
    }
}
