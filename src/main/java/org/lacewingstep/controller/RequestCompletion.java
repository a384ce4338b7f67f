package org.lacewingstep.controller;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;

/** Completes requests and releases the resources that they hold. */
final class RequestCompletion {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RequestCompletion() {}

    /**
     * Creates the refusal of a request for which no upstream has capacity.
     *
     * @return the refusal, never null
     */
    static Refusal noCapacity() {
        return new Refusal(ErrorCode.NO_CAPACITY, "no upstream has room for the request", RETRY_AFTER);
    }

    /**
     * Ends a request whose caller has disconnected.
     *
     * @param board the blackboard, not null
     * @param request the identifier of the request, not null
     * @param outputTokens the number of output tokens that the caller has received
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection abandon(
            final Blackboard board,
            final RequestIdentifier request,
            final long outputTokens,
            final OutcomeBuilder builder) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        releaseResources(board, state, builder);
        refund(state, outputTokens, isRunning(state), builder);
        builder.add(new Effect.Instruct(request, new Instruction.Complete()));
        return board.requests().without(request);
    }

    /**
     * Ends a request at its deadline.
     *
     * @param board the blackboard, not null
     * @param request the identifier of the request, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection expire(
            final Blackboard board, final RequestIdentifier request, final OutcomeBuilder builder) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        releaseResources(board, state, builder);
        if (isRunning(state) || state.everSent()) {
            return fail(board.requests(), state, ErrorCode.DEADLINE_EXCEEDED, "the request took too long", builder);
        }
        final boolean awaitingTokens = state.phase() instanceof Phase.AwaitingTokens;
        final Refusal refusal = awaitingTokens
                ? Refusal.of(ErrorCode.HOME_UNREACHABLE, "no home of the team's budget answered in time")
                : noCapacity();
        return refuse(board.requests(), state, refusal, builder);
    }

    /**
     * Refuses a request that was not run, or fails a request that an upstream may have run in an earlier attempt.
     *
     * @param section the requests, not null
     * @param state the state of the request, not null
     * @param refusal the refusal with its reason, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection refuse(
            final RequestSection section,
            final RequestState state,
            final Refusal refusal,
            final OutcomeBuilder builder) {
        if (state.everSent()) {
            return fail(section, state, refusal.code(), refusal.message(), builder);
        }
        refund(state, 0, false, builder);
        IdempotencyClaims.release(state, builder);
        builder.add(new Effect.Instruct(state.parameters().request(), new Instruction.Refuse(refusal)));
        return section.without(state.parameters().request());
    }

    /**
     * Fails a request that an upstream may have run.
     *
     * @param section the requests, not null
     * @param state the state of the request, not null
     * @param code the error code for the caller, not null
     * @param message the error message for the caller, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated requests, never null
     */
    static RequestSection fail(
            final RequestSection section,
            final RequestState state,
            final ErrorCode code,
            final String message,
            final OutcomeBuilder builder) {
        refund(state, state.progress().outputTokens(), true, builder);
        builder.add(new Effect.Instruct(state.parameters().request(), new Instruction.Fail(code, message)));
        return section.without(state.parameters().request());
    }

    /**
     * Releases the reservation or the queue entry of a request, withdraws its search for tokens and cancels its running
     * attempt.
     *
     * @param board the blackboard, not null
     * @param state the state of the request, not null
     * @param builder collects the effects and follow-up events, not null
     */
    static void releaseResources(final Blackboard board, final RequestState state, final OutcomeBuilder builder) {
        switch (state.phase()) {
            case Phase.AwaitingTokens() ->
                builder.add(new Event.TokensWithdrawn(state.parameters().request()));
            case Phase.AwaitingHome() -> {
                // The request holds no resources.
            }
            case Phase.AwaitingPlacement waiting ->
                release(board, state, waiting.cell(), Optional.empty(), false, builder);
            case Phase.RenewingTokens(Reservation held) -> {
                builder.add(new Event.TokensWithdrawn(state.parameters().request()));
                release(board, state, held.cell(), Optional.empty(), false, builder);
            }
            case Phase.Claiming(Reservation held) ->
                release(board, state, held.cell(), Optional.empty(), false, builder);
            case Phase.Running(Reservation held) -> {
                cancel(board, held, builder);
                release(board, state, held.cell(), Optional.empty(), false, builder);
            }
        }
    }

    /**
     * Cancels an attempt at its upstreams.
     *
     * @param board the blackboard, not null
     * @param held the attempt's reservation, not null
     * @param builder collects the effects and follow-up events, not null
     */
    static void cancel(final Blackboard board, final Reservation held, final OutcomeBuilder builder) {
        held.prefill().ifPresent(name -> cancelAt(board, name, held, builder));
        cancelAt(board, held.target(), held, builder);
    }

    private static void cancelAt(
            final Blackboard board, final UpstreamName name, final Reservation held, final OutcomeBuilder builder) {
        final Upstream upstream = board.configuration().inForce().upstreams().get(name);
        if (upstream != null) {
            builder.add(new Effect.CancelAttempt(upstream, held.attempt()));
        }
    }

    /**
     * Reports the end of an attempt to the shard owner of the attempt's cell.
     *
     * @param board the blackboard, not null
     * @param state the state of the request, not null
     * @param cell the cell of the attempt, not null
     * @param failedUpstream the upstream that failed the attempt, empty if none did
     * @param completed whether the attempt's response is complete
     * @param builder collects the effects and follow-up events, not null
     */
    static void release(
            final Blackboard board,
            final RequestState state,
            final CellName cell,
            final Optional<UpstreamName> failedUpstream,
            final boolean completed,
            final OutcomeBuilder builder) {
        final PeerMessage message = new PeerMessage.PlacementRelease(state.attempt(), cell, failedUpstream, completed);
        board.membership()
                .shardOwner(new Shard.CellShard(cell))
                .ifPresent(shardOwner -> builder.add(new Effect.SendToPeer(shardOwner, message)));
    }

    /**
     * Refunds the unused tokens of a request: all tokens if the request was not run, otherwise the debited tokens
     * beyond the prompt and the output received. A request for no output tokens, such as one to a plain service, uses
     * all its tokens when it is run.
     *
     * @param state the state of the request, not null
     * @param outputTokens the number of output tokens that the caller has received
     * @param ran whether an upstream may have run the request
     * @param builder collects the effects and follow-up events, not null
     */
    static void refund(
            final RequestState state, final long outputTokens, final boolean ran, final OutcomeBuilder builder) {
        final long debited = state.debits().tokens();
        final boolean withoutOutput = state.parameters().outputTokens() == 0;
        final long used = withoutOutput ? debited : state.parameters().promptTokens() + outputTokens;
        final long unspent = ran ? Math.max(0, debited - used) : debited;
        if (state.team().isPresent() && unspent > 0) {
            builder.add(new Event.TokensUnspent(state.team().get(), state.debits(), unspent));
        }
    }

    private static boolean isRunning(final RequestState state) {
        return state.phase() instanceof Phase.Running;
    }
}
