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
import org.lacewingstep.blackboard.RequestDemand;
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

/** Finds room for a request: asks the homes of the service's cells one after the other. */
final class Placement {
    private Placement() {}

    /**
     * Begins to look for room, for the first attempt or another one.
     *
     * @param board the blackboard, not null
     * @param section the requests, not null
     * @param state the request, not null
     * @param draft collects what follows, not null
     * @param now the present time, not null
     * @return the requests afterwards, never null
     */
    static RequestSection begin(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final Draft draft,
            final Instant now) {
        return askNext(board, section, state, HashTreePSet.empty(), draft, now);
    }

    private static RequestSection askNext(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final PSet<CellName> asked,
            final Draft draft,
            final Instant now) {
        final Optional<Refusal> forbidden = recheck(board, state, now);
        if (forbidden.isPresent()) {
            return RequestEnding.refuse(section, state, forbidden.get(), draft);
        }
        final List<CellName> cells = board.configuration().inForce().cellsOf(state.service());
        final int first =
                cells.isEmpty() ? 0 : Math.floorMod(state.demand().request().hashCode(), cells.size());
        for (int offset = 0; offset < cells.size(); offset++) {
            final CellName cell = cells.get((first + offset) % cells.size());
            final Optional<Member> home = board.membership().home(new Shard.CellShard(cell));
            if (!asked.contains(cell) && home.isPresent() && isReachable(board, home.get(), now)) {
                return ask(board, section, state, asked.plus(cell), cell, home.get(), draft, now);
            }
        }
        return waitForHome(board, section, state, draft, now);
    }

    /** The key counts at the time of dispatch, not only at the time of arrival. */
    private static Optional<Refusal> recheck(final Blackboard board, final RequestState state, final Instant now) {
        final Service service = board.configuration().inForce().services().get(state.service());
        if (service == null) {
            return Optional.of(Refusal.of(ErrorCode.SERVICE_UNKNOWN, "the service was removed while waiting"));
        }
        final Optional<Team> team =
                state.demand().key().flatMap(board.configuration().inForce()::teamOf);
        return Admission.forbidden(board, service, team, now);
    }

    private static boolean isReachable(final Blackboard board, final Member home, final Instant now) {
        return board.membership()
                .isReachable(
                        home.incarnation(),
                        board.identity().incarnation(),
                        board.identity().policy().peerSilenceLimit(),
                        now);
    }

    private static RequestSection ask(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final PSet<CellName> asked,
            final CellName cell,
            final Member home,
            final Draft draft,
            final Instant now) {
        final RequestState next = state.nextAttempt(new Phase.AwaitingPlacement(cell, asked, false));
        final RequestDemand demand = state.demand();
        final long tokens = Math.max(1, demand.totalTokens());
        final Duration patience = Duration.between(now, demand.deadline());
        draft.add(new Effect.SendToPeer(
                home,
                new PeerMessage.PlacementAsk(
                        next.attempt(),
                        cell,
                        state.team(),
                        tokens,
                        board.identity().policy().pieces(tokens),
                        state.avoided(),
                        patience.isNegative() ? Duration.ZERO : patience)));
        startTimer(board, next, draft, now);
        return section.with(next);
    }

    private static void startTimer(
            final Blackboard board, final RequestState state, final Draft draft, final Instant now) {
        draft.add(new Effect.StartTimer(
                new TimerKey.PlacementCheck(state.attempt()),
                now.plus(board.identity().policy().placementTimeout())));
    }

    /** No home can be asked now; the request's deadline bounds the wait. */
    private static RequestSection waitForHome(
            final Blackboard board,
            final RequestSection section,
            final RequestState state,
            final Draft draft,
            final Instant now) {
        final RequestState next = state.nextAttempt(new Phase.AwaitingHome());
        startTimer(board, next, draft, now);
        return section.with(next);
    }

    /**
     * Looks after a request that still waits.
     *
     * @param board the blackboard, not null
     * @param attempt the attempt, not null
     * @param draft collects what follows, not null
     * @param now the present time, not null
     * @return the requests afterwards, never null
     */
    static RequestSection checkHome(
            final Blackboard board, final AttemptIdentifier attempt, final Draft draft, final Instant now) {
        final RequestState state = board.requests().requests().get(attempt.request());
        if (state == null || !state.attempt().equals(attempt)) {
            return board.requests();
        }
        if (state.phase() instanceof Phase.AwaitingHome()) {
            return askNext(board, board.requests(), state, HashTreePSet.empty(), draft, now);
        }
        if (!(state.phase() instanceof Phase.AwaitingPlacement waiting)) {
            return board.requests();
        }
        if (waiting.queued() && isHomeReachable(board, waiting.cell(), now)) {
            startTimer(board, state, draft, now);
            return board.requests();
        }
        withdraw(board, state, waiting.cell(), draft);
        return askNext(board, board.requests(), state, waiting.asked(), draft, now);
    }

    private static boolean isHomeReachable(final Blackboard board, final CellName cell, final Instant now) {
        return board.membership()
                .home(new Shard.CellShard(cell))
                .filter(home -> isReachable(board, home, now))
                .isPresent();
    }

    private static void withdraw(
            final Blackboard board, final RequestState state, final CellName cell, final Draft draft) {
        final PeerMessage message = new PeerMessage.PlacementRelease(state.attempt(), cell, Optional.empty(), false);
        board.membership()
                .home(new Shard.CellShard(cell))
                .ifPresent(home -> draft.add(new Effect.SendToPeer(home, message)));
    }

    /**
     * Asks again for the requests that wait at a home that has changed.
     *
     * @param board the blackboard, not null
     * @param previous the roster before, not null
     * @param draft collects what follows, not null
     * @param now the present time, not null
     * @return the requests afterwards, never null
     */
    static RequestSection askAgainAfter(
            final Blackboard board, final Roster previous, final Draft draft, final Instant now) {
        RequestSection section = board.requests();
        for (final RequestState state : section.requests().values()) {
            if (isAskedAgain(board, state.phase(), previous)) {
                section = askNext(board, section, state, HashTreePSet.empty(), draft, now);
            }
        }
        return section;
    }

    private static boolean isAskedAgain(final Blackboard board, final Phase phase, final Roster previous) {
        if (phase instanceof Phase.AwaitingPlacement waiting) {
            final Shard shard = new Shard.CellShard(waiting.cell());
            return !Rendezvous.home(shard, previous).equals(board.membership().home(shard));
        }
        return phase instanceof Phase.AwaitingHome;
    }

    /**
     * Acts on a home's answer; room given by a process that is not the home is given back.
     *
     * @param board the blackboard, not null
     * @param sender the process that answered, not null
     * @param answer the answer, not null
     * @param draft collects what follows, not null
     * @param now the present time, not null
     * @return the requests afterwards, never null
     */
    static RequestSection answered(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.PlacementAnswer answer,
            final Draft draft,
            final Instant now) {
        final RequestSection section = board.requests();
        final RequestState state = section.requests().get(answer.attempt().request());
        final boolean expected = state != null
                && state.attempt().equals(answer.attempt())
                && state.phase() instanceof Phase.AwaitingPlacement waiting
                && board.membership().isHome(new Shard.CellShard(waiting.cell()), sender);
        if (!expected) {
            giveBack(board, sender, answer, state, draft);
            return section;
        }
        final Phase.AwaitingPlacement waiting = (Phase.AwaitingPlacement) state.phase();
        return switch (answer.verdict()) {
            case GIVEN -> run(board, state, answer, draft, now);
            case QUEUED -> section.with(state.in(waiting.inQueue()));
            case NO_ROOM, NOT_HOME -> skip(board, state, waiting, answer.verdict(), draft, now);
        };
    }

    private static void giveBack(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.PlacementAnswer answer,
            final RequestState state,
            final Draft draft) {
        final boolean running = state != null
                && state.phase() instanceof Phase.Running(Reservation held)
                && held.attempt().equals(answer.attempt());
        if (answer.verdict() == PlacementVerdict.GIVEN && !running) {
            final PeerMessage message = new PeerMessage.PlacementRelease(
                    answer.attempt(), answer.reservation().orElseThrow().cell(), Optional.empty(), false);
            PeerReply.to(board, sender, message).ifPresent(draft::add);
        }
    }

    private static RequestSection run(
            final Blackboard board,
            final RequestState state,
            final PeerMessage.PlacementAnswer answer,
            final Draft draft,
            final Instant now) {
        final Reservation reservation = answer.reservation().orElseThrow();
        final Optional<Refusal> forbidden = recheck(board, state, now);
        if (forbidden.isPresent()) {
            withdraw(board, state, reservation.cell(), draft);
            return RequestEnding.refuse(board.requests(), state, forbidden.get(), draft);
        }
        final boolean fresh = state.everSent()
                || state.debits().isFresh(board.identity().policy().grantLife(), now);
        return fresh
                ? Claims.dispatch(board, state, reservation, draft)
                : renewTokens(board, state, reservation, draft);
    }

    /** A debit that aged in the queue would let the team receive more at once than its burst, so it is taken anew. */
    private static RequestSection renewTokens(
            final Blackboard board, final RequestState state, final Reservation reservation, final Draft draft) {
        final TeamName team = state.team().orElseThrow();
        final long tokens = state.debits().tokens();
        draft.add(new Event.TokensUnspent(team, state.debits(), tokens));
        draft.add(new Event.TokensNeeded(state.demand().request(), team, tokens));
        return board.requests().with(state.with(TokenDebits.NONE).in(new Phase.RenewingTokens(reservation)));
    }

    /** A cell without room is not asked again; one whose home moved is asked when the others have been. */
    private static RequestSection skip(
            final Blackboard board,
            final RequestState state,
            final Phase.AwaitingPlacement waiting,
            final PlacementVerdict verdict,
            final Draft draft,
            final Instant now) {
        final List<CellName> cells = board.configuration().inForce().cellsOf(state.service());
        if (verdict == PlacementVerdict.NO_ROOM && waiting.asked().containsAll(cells)) {
            return RequestEnding.refuse(board.requests(), state, RequestEnding.noCapacity(), draft);
        }
        return askNext(board, board.requests(), state, waiting.asked(), draft, now);
    }
}
