package org.lacewingstep.controller;

import java.time.Duration;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.UpstreamRole;

/** Computes the reservation of memory for a call at the engine that will generate the response. */
final class ReservationRequest {
    /** Longest lifetime of a reservation: the longest time to process and transfer a prompt, plus a margin. */
    private static final Duration MAX_RESERVATION_LIFETIME = Duration.ofMillis(1200);

    /** Fraction of the permitted output tokens for which memory is reserved. */
    private static final double RESERVED_OUTPUT_FRACTION = 0.5;

    private ReservationRequest() {}

    /**
     * Returns whether memory has to be reserved at an upstream before a call is sent there.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @return true if the upstream generates responses and its service accepts reservations
     */
    static boolean isNeeded(final Blackboard board, final Call call, final RegisteredUpstream upstream) {
        return upstream.role() == UpstreamRole.DECODE
                && !reservationLimit(board, call).isZero();
    }

    private static Duration reservationLimit(final Blackboard board, final Call call) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(call.service());
        return service == null ? Duration.ZERO : service.reservationLimit();
    }

    /**
     * Creates the instruction to reserve memory for a call.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @return the effect that delivers the instruction, never null
     */
    static Effect create(final Blackboard board, final Call call, final RegisteredUpstream upstream) {
        final Duration limit = reservationLimit(board, call);
        final Duration lifetime = limit.compareTo(MAX_RESERVATION_LIFETIME) < 0 ? limit : MAX_RESERVATION_LIFETIME;
        return new Effect.InstructCall(
                call.parameters().request(),
                new CallInstruction.Reserve(upstream, reservedTokens(call), lifetime, connectionLimit(board, call)));
    }

    /**
     * Computes the memory to reserve: the prompt has to fit at once, the output grows while other requests end.
     *
     * @param call the call, not null
     * @return the memory in tokens, zero if the caller gave no token counts
     */
    static long reservedTokens(final Call call) {
        return call.parameters()
                .tokens()
                .map(size -> size.prompt() + (long) (size.output() * RESERVED_OUTPUT_FRACTION))
                .orElse(0L);
    }

    /**
     * Computes how many connections this instance may open to each upstream of a call's service.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @return the number of connections, at least one
     */
    static int connectionLimit(final Blackboard board, final Call call) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(call.service());
        return service == null
                ? 1
                : Math.max(1, service.connectionLimit() / board.serving().site().instances());
    }
}
