package org.lacewingstep.controller;

import java.time.Duration;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.ClaimOutcome;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Service;
import org.lacewingstep.error.ErrorCode;

/**
 * Dispatches requests that hold a reservation. The idempotency key of a request that is not safe to repeat is claimed
 * in the store before the request is sent, so that no instance sends a request with the same key again.
 */
final class IdempotencyClaims {
    private IdempotencyClaims() {}

    /**
     * Starts a request at its reserved upstreams, or first claims its idempotency key if it needs a claim.
     *
     * @param board the blackboard, not null
     * @param state the state of the request, not null
     * @param reservation the reservation of the request, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection dispatch(
            final Blackboard board,
            final RequestState state,
            final Reservation reservation,
            final OutcomeBuilder builder) {
        if (!needsClaim(board, state)) {
            builder.add(new Effect.Instruct(state.parameters().request(), new Instruction.Run(reservation)));
            return board.requests().with(state.withPhase(new Phase.Running(reservation)));
        }
        builder.add(new Effect.ClaimKey(
                state.parameters().request(),
                state.team().orElseThrow(),
                state.parameters().idempotencyKey().orElseThrow()));
        return board.requests().with(state.withPhase(new Phase.Claiming(reservation)));
    }

    private static boolean needsClaim(final Blackboard board, final RequestState state) {
        final Service service = board.configuration().inForce().services().get(state.service());
        final boolean repeatable = service == null || service.kind().isRepeatable();
        return !repeatable
                && !state.claimed()
                && state.team().isPresent()
                && state.parameters().idempotencyKey().isPresent();
    }

    /**
     * Applies the outcome of a claim: dispatches, fails or refuses the request.
     *
     * @param board the blackboard, not null
     * @param request the identifier of the request, not null
     * @param outcome the outcome of the claim in the store, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection applyOutcome(
            final Blackboard board,
            final RequestIdentifier request,
            final ClaimOutcome outcome,
            final OutcomeBuilder builder) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null || !(state.phase() instanceof Phase.Claiming(Reservation reservation))) {
            return board.requests();
        }
        return switch (outcome) {
            case GRANTED -> dispatch(board, state.withClaim(), reservation, builder);
            case HELD_BY_ANOTHER -> {
                RequestCompletion.releaseResources(board, state, builder);
                yield RequestCompletion.fail(
                        board.requests(),
                        state,
                        ErrorCode.DUPLICATE_CALL,
                        "a call with this idempotency key was accepted before",
                        builder);
            }
            case UNKNOWN -> {
                RequestCompletion.releaseResources(board, state, builder);
                yield RequestCompletion.refuse(board.requests(), state.withClaim(), storeUnreachable(), builder);
            }
        };
    }

    private static Refusal storeUnreachable() {
        return new Refusal(
                ErrorCode.STORE_UNREACHABLE,
                "the store cannot tell whether a call with this idempotency key was made",
                Duration.ofSeconds(1));
    }

    /**
     * Releases the claim of a request that was not run, so that the caller can retry it with the same key.
     *
     * @param state the state of the request, not null
     * @param builder collects the effects and follow-up events, not null
     */
    static void release(final RequestState state, final OutcomeBuilder builder) {
        if (state.claimed()) {
            builder.add(new Effect.ReleaseClaim(
                    state.parameters().request(),
                    state.team().orElseThrow(),
                    state.parameters().idempotencyKey().orElseThrow()));
        }
    }
}
