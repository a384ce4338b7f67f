package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.Reserve;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceUrgency;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.Urgency;

/** Decides whether an engine has memory for a call. */
final class UpstreamRoom {
    /** Factor of an engine's memory that predicted final sizes may add up to; few requests are at that size at once. */
    private static final double MEMORY_OVERCOMMIT = 1.2;

    /** Memory factor for a call that can no longer be on time; lower, so that calls which can be find a place. */
    private static final double LATE_MEMORY_OVERCOMMIT = 0.8;

    /**
     * Divisor of an engine's memory that yields the memory of a typical call. A larger call requires no more free
     * memory than a typical one, since small calls would otherwise always be placed before the large call.
     */
    static final int TYPICAL_CALL_DIVISOR = 8;

    private UpstreamRoom() {}

    /**
     * Returns whether an engine has memory for the predicted final size of a call, because memory is reserved before
     * the prompt is processed elsewhere.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return true if the call fits or if the upstream is no engine that generates output
     */
    static boolean hasCapacity(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(upstream.service());
        if (upstream.role() != UpstreamRole.DECODE || service == null || service.memoryTokens() == 0) {
            return true;
        }
        final UpstreamUse use = board.serving().use(upstream.name(), now);
        if (use.requests() == 0) {
            return true;
        }
        final long typicalTokens = service.memoryTokens() / TYPICAL_CALL_DIVISOR;
        final long requiredTokens =
                DemandReports.isCounted(board, call.service()) ? typicalTokens : Math.min(call.tokens(), typicalTokens);
        return use.tokens() + requiredTokens <= service.memoryTokens() * overcommit(board, call, now);
    }

    private static double overcommit(final Blackboard board, final Call call, final Instant now) {
        final boolean onTime = CallTiming.canMeetLatencyTarget(call, now);
        final double limit = onTime ? MEMORY_OVERCOMMIT : LATE_MEMORY_OVERCOMMIT;
        if (!DemandReports.isCounted(board, call.service())) {
            return limit;
        }
        final Urgency urgency =
                call.urgency().after(CallTiming.waited(call, now), call.route().latencyTarget());
        final Reserve reserve = board.serving().calls().reserve(new ServiceUrgency(call.service(), urgency));
        final double admitted = admittedOvercommit(call);
        return onTime
                ? Math.min(limit, reserve.onTime() > 0 ? admitted * (1 - reserve.onTime()) : limit)
                : Math.min(limit, admitted * (1 - reserve.late()));
    }

    /** Computes how far predicted final sizes exceed what engines reserve: the prompt and a part of the output. */
    private static double admittedOvercommit(final Call call) {
        final long reserved = ReservationRequest.reservedTokens(call);
        return reserved == 0 ? 1 : call.tokens() / (double) reserved;
    }
}
