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

/** Ends requests and gives back everything that they held. */
final class RequestEnding {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RequestEnding() {}

    /**
     * Creates the refusal of a request that found no room.
     *
     * @return the refusal, never null
     */
    static Refusal noCapacity() {
        return new Refusal(ErrorCode.NO_CAPACITY, "no upstream has room for the request", RETRY_AFTER);
    }

    /**
     * Ends a request whose caller has gone.
     *
     * @param board the blackboard, not null
     * @param request the request, not null
     * @param outputTokens tokens that the caller has received
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection abandon(
            final Blackboard board, final RequestIdentifier request, final long outputTokens, final Draft draft) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        letGo(board, state, draft);
        refund(state, outputTokens, isRunning(state), draft);
        draft.add(new Effect.Instruct(request, new Instruction.Conclude()));
        return board.requests().without(request);
    }

    /**
     * Ends a request at its deadline.
     *
     * @param board the blackboard, not null
     * @param request the request, not null
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection expire(final Blackboard board, final RequestIdentifier request, final Draft draft) {
        final RequestState state = board.requests().requests().get(request);
        if (state == null) {
            return board.requests();
        }
        letGo(board, state, draft);
        if (isRunning(state) || state.everSent()) {
            return fail(board.requests(), state, ErrorCode.DEADLINE_EXCEEDED, "the request took too long", draft);
        }
        final boolean paying = state.phase() instanceof Phase.AwaitingTokens;
        final Refusal refusal = paying
                ? Refusal.of(ErrorCode.HOME_UNREACHABLE, "no home of the team's budget answered in time")
                : noCapacity();
        return refuse(board.requests(), state, refusal, draft);
    }

    /**
     * Refuses a request that was not run, or fails one that an earlier attempt may have run.
     *
     * @param section the requests, not null
     * @param state the request, not null
     * @param refusal the reason, not null
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection refuse(
            final RequestSection section, final RequestState state, final Refusal refusal, final Draft draft) {
        if (state.everSent()) {
            return fail(section, state, refusal.code(), refusal.message(), draft);
        }
        refund(state, 0, false, draft);
        Claims.giveBack(state, draft);
        draft.add(new Effect.Instruct(state.demand().request(), new Instruction.Refuse(refusal)));
        return section.without(state.demand().request());
    }

    /**
     * Fails a request that may have run.
     *
     * @param section the requests, not null
     * @param state the request, not null
     * @param code the code, not null
     * @param message what a caller may read, not null
     * @param draft collects what follows, not null
     * @return the requests afterwards, never null
     */
    static RequestSection fail(
            final RequestSection section,
            final RequestState state,
            final ErrorCode code,
            final String message,
            final Draft draft) {
        refund(state, state.progress().outputTokens(), true, draft);
        draft.add(new Effect.Instruct(state.demand().request(), new Instruction.Fail(code, message)));
        return section.without(state.demand().request());
    }

    /**
     * Gives back the room or the place in a queue, and cancels what runs.
     *
     * @param board the blackboard, not null
     * @param state the request, not null
     * @param draft collects what follows, not null
     */
    static void letGo(final Blackboard board, final RequestState state, final Draft draft) {
        switch (state.phase()) {
            case Phase.AwaitingTokens() ->
                draft.add(new Event.TokensWithdrawn(state.demand().request()));
            case Phase.AwaitingHome() -> {
                // Nothing is held.
            }
            case Phase.AwaitingPlacement waiting ->
                release(board, state, waiting.cell(), Optional.empty(), false, draft);
            case Phase.RenewingTokens(Reservation held) -> {
                draft.add(new Event.TokensWithdrawn(state.demand().request()));
                release(board, state, held.cell(), Optional.empty(), false, draft);
            }
            case Phase.Claiming(Reservation held) -> release(board, state, held.cell(), Optional.empty(), false, draft);
            case Phase.Running(Reservation held) -> {
                cancel(board, held, draft);
                release(board, state, held.cell(), Optional.empty(), false, draft);
            }
        }
    }

    /**
     * Cancels an attempt at its upstreams.
     *
     * @param board the blackboard, not null
     * @param held the attempt's reservation, not null
     * @param draft collects what follows, not null
     */
    static void cancel(final Blackboard board, final Reservation held, final Draft draft) {
        held.prefill().ifPresent(name -> cancelAt(board, name, held, draft));
        cancelAt(board, held.target(), held, draft);
    }

    private static void cancelAt(
            final Blackboard board, final UpstreamName name, final Reservation held, final Draft draft) {
        final Upstream upstream = board.configuration().inForce().upstreams().get(name);
        if (upstream != null) {
            draft.add(new Effect.CancelAttempt(upstream, held.attempt()));
        }
    }

    /**
     * Tells the home of a cell that an attempt has ended.
     *
     * @param board the blackboard, not null
     * @param state the request, not null
     * @param cell the cell, not null
     * @param blamed the upstream that failed, empty if none did
     * @param completed whether the attempt was answered in full
     * @param draft collects what follows, not null
     */
    static void release(
            final Blackboard board,
            final RequestState state,
            final CellName cell,
            final Optional<UpstreamName> blamed,
            final boolean completed,
            final Draft draft) {
        final PeerMessage message = new PeerMessage.PlacementRelease(state.attempt(), cell, blamed, completed);
        board.membership()
                .home(new Shard.CellShard(cell))
                .ifPresent(home -> draft.add(new Effect.SendToPeer(home, message)));
    }

    /**
     * Gives back the tokens that were not used: all of them if nothing ran, else the output that was not generated.
     *
     * @param state the request, not null
     * @param outputTokens tokens that the caller has received
     * @param ran whether the request may have run
     * @param draft collects what follows, not null
     */
    static void refund(final RequestState state, final long outputTokens, final boolean ran, final Draft draft) {
        final long debited = state.debits().tokens();
        final boolean plain = state.demand().outputTokens() == 0;
        final long used = plain ? debited : state.demand().promptTokens() + outputTokens;
        final long unspent = ran ? Math.max(0, debited - used) : debited;
        if (state.team().isPresent() && unspent > 0) {
            draft.add(new Event.TokensUnspent(state.team().get(), state.debits(), unspent));
        }
    }

    private static boolean isRunning(final RequestState state) {
        return state.phase() instanceof Phase.Running;
    }
}
