package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.UpstreamLoadSection.Load;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.placement.UpstreamForecast;

/** Decides whether an upstream that serves plain calls has a place for a call, so that calls wait at the instances. */
final class PlainRoom {
    /** Time after a refusal for which this instance sends the upstream nothing. */
    private static final Duration REFUSAL_PACE = Duration.ofMillis(150);

    private PlainRoom() {}

    /**
     * Returns whether a call may be sent to an upstream now. A call that can no longer be on time is not held back, as
     * the queue of the upstream serves it sooner than a refusal and a return.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return true if the call may be sent, or if the upstream is an engine
     */
    static boolean hasPlace(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        if (upstream.role() != UpstreamRole.PLAIN) {
            return true;
        }
        final double secondsPerCall = UpstreamSpeeds.secondsPerUnit(board, upstream, now);
        if (!coversForecast(board, call, upstream, secondsPerCall, now)) {
            return false;
        }
        return !CallTiming.canMeetLatencyTarget(call, now)
                || !hasJustRefused(UpstreamCost.load(board, upstream), now)
                        && isWithinLimit(board, call, upstream, secondsPerCall, now);
    }

    /** Returns whether the time left to a call that must not run twice covers its forecast at the upstream. */
    private static boolean coversForecast(
            final Blackboard board,
            final Call call,
            final RegisteredUpstream upstream,
            final double secondsPerCall,
            final Instant now) {
        return !(call.route().kind() instanceof RouteKind.AtMostOnce)
                || UpstreamForecast.completion(
                                board.serving().use(upstream.name(), now).requests(),
                                1,
                                upstream.slots(),
                                secondsPerCall)
                        <= seconds(Duration.between(now, call.deadline()));
    }

    /** Returns whether the upstream refused a request of this instance last, and did so within the pace. */
    private static boolean hasJustRefused(final Load load, final Instant now) {
        if (load.refusalsInRow() == 0) {
            return false;
        }
        final Duration backOff = UpstreamLoadController.refusalBackOff(load.refusalsInRow());
        return load.avoidUntil().minus(backOff).plus(REFUSAL_PACE).isAfter(now);
    }

    /**
     * Limits the calls in flight to those that the upstream completes on time. Where reports arrive later than calls
     * end, each instance limits its own calls to twice its share, as the demand differs by instance.
     */
    private static boolean isWithinLimit(
            final Blackboard board,
            final Call call,
            final RegisteredUpstream upstream,
            final double secondsPerCall,
            final Instant now) {
        final double limit = UpstreamForecast.callsOnTime(
                upstream.slots(), secondsPerCall, seconds(call.route().latencyTarget()));
        if (!board.serving().site().isRelayed()) {
            return board.serving().use(upstream.name(), now).requests() < limit;
        }
        final double share = 2 * limit / board.serving().site().instances();
        return UpstreamCost.load(board, upstream).running().requests() < Math.max(1, share);
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
