package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.WaitingPlacement;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.PlacementVerdict;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.TeamName;
import org.pcollections.PMap;

/**
 * Serves the requests that wait for capacity in a cell. The team that was served the fewest tokens comes first, and
 * within a team the request with the earliest deadline.
 */
final class PlacementQueue {
    private PlacementQueue() {}

    /**
     * Refuses the requests whose deadline has passed.
     *
     * @param board the blackboard, not null
     * @param state the state of the cell, not null
     * @param builder collects the responses, not null
     * @param now the present time, not null
     * @return the updated state, never null
     */
    static CellState expire(
            final Blackboard board, final CellState state, final OutcomeBuilder builder, final Instant now) {
        CellState next = state;
        for (final WaitingPlacement waiting : state.waiting()) {
            if (!now.isBefore(waiting.deadline())) {
                next = next.dequeue(waiting);
                respond(board, waiting, PlacementVerdict.NO_CAPACITY, Optional.empty(), builder);
            }
        }
        return next;
    }

    /**
     * Reserves capacity for waiting requests in order, until there is none for the next request.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param state the state of the cell, not null
     * @param builder collects the responses, not null
     * @param now the present time, not null
     * @return the updated state, never null
     */
    static CellState serve(
            final Blackboard board,
            final CellName cell,
            final CellState state,
            final OutcomeBuilder builder,
            final Instant now) {
        CellState current = state;
        if (!board.membership().mayServeShards(board.identity().incarnation(), now)) {
            return current;
        }
        while (!current.waiting().isEmpty()) {
            final WaitingPlacement next = nextInOrder(current);
            final Optional<Reservation> reservation = CellCapacity.choose(board, cell, current, next, now);
            if (reservation.isEmpty()) {
                return current;
            }
            current = current.dequeue(next)
                    .addReservation(reservation.get(), now)
                    .addServedTokens(next.payer(), next.tokens());
            respond(board, next, PlacementVerdict.RESERVED, reservation, builder);
        }
        return current;
    }

    /**
     * Refuses one request if the queue exceeds its limit: the request with the latest deadline of the team with the
     * most waiting requests.
     *
     * @param board the blackboard, not null
     * @param state the state of the cell, not null
     * @param builder collects the response, not null
     * @return the updated state, never null
     */
    static CellState shed(final Blackboard board, final CellState state, final OutcomeBuilder builder) {
        if (state.waiting().size() <= board.identity().policy().queueLimit()) {
            return state;
        }
        final Map<TeamName, Long> counts =
                state.waiting().stream().collect(Collectors.groupingBy(WaitingPlacement::payer, Collectors.counting()));
        final WaitingPlacement shed = state.waiting().stream()
                .max(Comparator.comparingLong((WaitingPlacement waiting) -> counts.get(waiting.payer()))
                        .thenComparing(WaitingPlacement::deadline))
                .orElseThrow();
        respond(board, shed, PlacementVerdict.NO_CAPACITY, Optional.empty(), builder);
        return state.dequeue(shed);
    }

    private static WaitingPlacement nextInOrder(final CellState state) {
        final PMap<TeamName, Long> served = state.served();
        return state.waiting().stream()
                .min(Comparator.comparingLong((WaitingPlacement waiting) -> served.getOrDefault(waiting.payer(), 0L))
                        .thenComparing(WaitingPlacement::deadline)
                        .thenComparing(waiting -> waiting.attempt().toString()))
                .orElseThrow();
    }

    private static void respond(
            final Blackboard board,
            final WaitingPlacement waiting,
            final PlacementVerdict verdict,
            final Optional<Reservation> reservation,
            final OutcomeBuilder builder) {
        PeerMessages.to(
                        board,
                        waiting.owner(),
                        new PeerMessage.PlacementResponse(waiting.attempt(), verdict, reservation))
                .ifPresent(builder::add);
    }
}
