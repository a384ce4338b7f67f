package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.PlacementVerdict;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Rendezvous;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Service;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/** Reserves capacity for a request: sends placement requests to the owners of the service's cells, one at a time. */
final class Placement {
    private Placement() {}

    /**
     * Starts the placement of the first or a further attempt of a request.
     *
     * @param board the blackboard, not null
     * @param section the requests, not null
     * @param state the state of the request, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated requests, never null
     */
    static RequestSection begin(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final OutcomeBuilder builder,
            final Instant now) {
        return requestNext(board, section, state, HashTreePSet.empty(), builder, now);
    }

    private static RequestSection requestNext(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final PSet<CellName> tried,
            final OutcomeBuilder builder,
            final Instant now) {
        final Optional<Refusal> forbidden = recheckAccess(board, state, now);
        if (forbidden.isPresent()) {
            return RequestCompletion.refuse(section, state, forbidden.get(), builder);
        }
        final List<CellName> cells = board.configuration().inForce().cellsOf(state.service());
        final int first =
                cells.isEmpty() ? 0 : Math.floorMod(state.parameters().request().hashCode(), cells.size());
        for (int offset = 0; offset < cells.size(); offset++) {
            final CellName cell = cells.get((first + offset) % cells.size());
            final Optional<Member> shardOwner = board.membership().shardOwner(new Shard.CellShard(cell));
            if (!tried.contains(cell) && shardOwner.isPresent() && isReachable(board, shardOwner.get(), now)) {
                return sendRequest(board, section, state, tried.plus(cell), cell, shardOwner.get(), builder, now);
            }
        }
        return waitForOwner(board, section, state, builder, now);
    }

    /**
     * Checks again that the service exists and that the key's team may use it, since both may change after arrival. A
     * request that an upstream may have started is finished whatever has changed.
     */
    private static Optional<Refusal> recheckAccess(
            final Blackboard board, final RequestState state, final Instant now) {
        if (state.everSent()) {
            return Optional.empty();
        }
        final Service service = board.configuration().inForce().services().get(state.service());
        if (service == null) {
            return Optional.of(Refusal.of(ErrorCode.SERVICE_UNKNOWN, "the service was removed while waiting"));
        }
        final Optional<Team> team =
                state.parameters().key().flatMap(board.configuration().inForce()::teamOf);
        return Admission.checkAccess(board, service, team, now);
    }

    private static boolean isReachable(final Blackboard board, final Member shardOwner, final Instant now) {
        return board.membership()
                .isReachable(
                        shardOwner.incarnation(),
                        board.identity().incarnation(),
                        board.identity().policy().peerSilenceLimit(),
                        now);
    }

    private static RequestSection sendRequest(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final PSet<CellName> tried,
            final CellName cell,
            final Member shardOwner,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState next = state.nextAttempt(new Phase.AwaitingPlacement(cell, tried, false));
        final RequestParameters parameters = state.parameters();
        final long tokens = Math.max(1, parameters.totalTokens());
        final Duration waitLimit = Duration.between(now, parameters.deadline());
        builder.add(new Effect.SendToPeer(
                shardOwner,
                new PeerMessage.PlacementRequest(
                        next.attempt(),
                        cell,
                        state.team(),
                        tokens,
                        board.identity().policy().pieces(tokens),
                        state.avoided(),
                        waitLimit.isNegative() ? Duration.ZERO : waitLimit)));
        startTimer(board, next, builder, now);
        return section.with(next);
    }

    private static void startTimer(
            final Blackboard board, final RequestState state, final OutcomeBuilder builder, final Instant now) {
        builder.add(new Effect.StartTimer(
                new TimerKey.PlacementCheck(state.attempt()),
                now.plus(board.identity().policy().placementTimeout())));
    }

    /** Waits until the owner of any cell is reachable; the deadline of the request bounds the wait. */
    private static RequestSection waitForOwner(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestState next = state.nextAttempt(new Phase.AwaitingHome());
        startTimer(board, next, builder, now);
        return section.with(next);
    }

    /**
     * Checks a request that still awaits placement. Keeps its place in the queue of a reachable shard owner, and
     * otherwise tries the next cell.
     *
     * @param board the blackboard, not null
     * @param attempt the identifier of the attempt, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated requests, never null
     */
    static RequestSection checkPlacement(
            final Blackboard board, final AttemptIdentifier attempt, final OutcomeBuilder builder, final Instant now) {
        final RequestState state = board.requests().requests().get(attempt.request());
        if (state == null || !state.attempt().equals(attempt)) {
            return board.requests();
        }
        if (state.phase() instanceof Phase.AwaitingHome()) {
            return requestNext(board, board.requests(), state, HashTreePSet.empty(), builder, now);
        }
        if (!(state.phase() instanceof Phase.AwaitingPlacement waiting)) {
            return board.requests();
        }
        if (waiting.queued() && isOwnerReachable(board, waiting.cell(), now)) {
            startTimer(board, state, builder, now);
            return board.requests();
        }
        withdraw(board, state, waiting.cell(), builder);
        return requestNext(board, board.requests(), state, waiting.triedCells(), builder, now);
    }

    private static boolean isOwnerReachable(final Blackboard board, final CellName cell, final Instant now) {
        return board.membership()
                .shardOwner(new Shard.CellShard(cell))
                .filter(shardOwner -> isReachable(board, shardOwner, now))
                .isPresent();
    }

    private static void withdraw(
            final Blackboard board, final RequestState state, final CellName cell, final OutcomeBuilder builder) {
        final PeerMessage message = new PeerMessage.PlacementRelease(state.attempt(), cell, Optional.empty(), false);
        board.membership()
                .shardOwner(new Shard.CellShard(cell))
                .ifPresent(shardOwner -> builder.add(new Effect.SendToPeer(shardOwner, message)));
    }

    /**
     * Repeats the placement requests whose cell has a new owner, and those that wait for a reachable owner.
     *
     * @param board the blackboard, not null
     * @param previous the roster before the change, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated requests, never null
     */
    static RequestSection repeatRequests(
            final Blackboard board, final Roster previous, final OutcomeBuilder builder, final Instant now) {
        RequestSection section = board.requests();
        for (final RequestState state : section.requests().values()) {
            if (needsNewRequest(board, state.phase(), previous)) {
                section = requestNext(board, section, state, HashTreePSet.empty(), builder, now);
            }
        }
        return section;
    }

    private static boolean needsNewRequest(final Blackboard board, final Phase phase, final Roster previous) {
        if (phase instanceof Phase.AwaitingPlacement waiting) {
            final Shard shard = new Shard.CellShard(waiting.cell());
            return !Rendezvous.shardOwner(shard, previous)
                    .equals(board.membership().shardOwner(shard));
        }
        return phase instanceof Phase.AwaitingHome;
    }

    /**
     * Applies a placement response. Releases a reservation that the request no longer awaits or that a process other
     * than the cell's owner made.
     *
     * @param board the blackboard, not null
     * @param sender the process that sent the response, not null
     * @param response the response, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated requests, never null
     */
    static RequestSection receiveResponse(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.PlacementResponse response,
            final OutcomeBuilder builder,
            final Instant now) {
        final RequestSection section = board.requests();
        final RequestState state = section.requests().get(response.attempt().request());
        final boolean expected = state != null
                && state.attempt().equals(response.attempt())
                && state.phase() instanceof Phase.AwaitingPlacement waiting
                && board.membership().isShardOwner(new Shard.CellShard(waiting.cell()), sender);
        if (!expected) {
            releaseUnexpected(board, sender, response, state, builder);
            return section;
        }
        final Phase.AwaitingPlacement waiting = (Phase.AwaitingPlacement) state.phase();
        return switch (response.verdict()) {
            case RESERVED -> useReservation(board, state, response, builder, now);
            case QUEUED -> section.with(state.withPhase(waiting.asQueued()));
            case NO_CAPACITY, NOT_OWNER -> tryNextCell(board, state, waiting, response.verdict(), builder, now);
        };
    }

    private static void releaseUnexpected(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.PlacementResponse response,
            final RequestState state,
            final OutcomeBuilder builder) {
        final boolean running = state != null
                && state.phase() instanceof Phase.Running(Reservation held)
                && held.attempt().equals(response.attempt());
        if (response.verdict() == PlacementVerdict.RESERVED && !running) {
            final PeerMessage message = new PeerMessage.PlacementRelease(
                    response.attempt(), response.reservation().orElseThrow().cell(), Optional.empty(), false);
            PeerMessages.to(board, sender, message).ifPresent(builder::add);
        }
    }

    private static RequestSection useReservation(
            final Blackboard board,
            final RequestState state,
            final PeerMessage.PlacementResponse response,
            final OutcomeBuilder builder,
            final Instant now) {
        final Reservation reservation = response.reservation().orElseThrow();
        final Optional<Refusal> forbidden = recheckAccess(board, state, now);
        if (forbidden.isPresent()) {
            withdraw(board, state, reservation.cell(), builder);
            return RequestCompletion.refuse(board.requests(), state, forbidden.get(), builder);
        }
        final boolean fresh = state.everSent()
                || state.debits().isFresh(board.identity().policy().grantLife(), now);
        return fresh
                ? IdempotencyClaims.dispatch(board, state, reservation, builder)
                : renewTokens(board, state, reservation, builder);
    }

    /**
     * Refunds the debits and requests the tokens again. A debit that aged in the queue would let the team exceed its
     * burst.
     */
    private static RequestSection renewTokens(
            final Blackboard board,
            final RequestState state,
            final Reservation reservation,
            final OutcomeBuilder builder) {
        final TeamName team = state.team().orElseThrow();
        final long tokens = state.debits().tokens();
        builder.add(new Event.TokensUnspent(team, state.debits(), tokens));
        builder.add(new Event.TokensNeeded(state.parameters().request(), team, tokens));
        return board.requests().with(state.with(TokenDebits.NONE).withPhase(new Phase.RenewingTokens(reservation)));
    }

    /**
     * Tries the next cell. Once all cells were tried, refuses the request if the last one has no capacity; otherwise
     * waits and then tries all cells again.
     */
    private static RequestSection tryNextCell(
            final Blackboard board,
            final RequestState state,
            final Phase.AwaitingPlacement waiting,
            final PlacementVerdict verdict,
            final OutcomeBuilder builder,
            final Instant now) {
        final List<CellName> cells = board.configuration().inForce().cellsOf(state.service());
        if (verdict == PlacementVerdict.NO_CAPACITY && waiting.triedCells().containsAll(cells)) {
            return RequestCompletion.refuse(board.requests(), state, RequestCompletion.noCapacity(), builder);
        }
        return requestNext(board, board.requests(), state, waiting.triedCells(), builder, now);
    }
}
