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
 * Serves the requests that wait for room in a cell: the team that was served the fewest tokens first, and within a
 * team the earliest deadline first.
 */
final class PlacementQueue {
    private PlacementQueue() {}

    /**
     * Refuses the requests whose deadline has passed.
     *
     * @param board the blackboard, not null
     * @param state the cell's state, not null
     * @param draft collects the answers, not null
     * @param now the present time, not null
     * @return the state afterwards, never null
     */
    static CellState expire(final Blackboard board, final CellState state, final Draft draft, final Instant now) {
        CellState next = state;
        for (final WaitingPlacement waiting : state.waiting()) {
            if (!now.isBefore(waiting.deadline())) {
                next = next.dequeue(waiting);
                answer(board, waiting, PlacementVerdict.NO_ROOM, Optional.empty(), draft);
            }
        }
        return next;
    }

    /**
     * Gives room to waiting requests until the next one in order finds none.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param state the cell's state, not null
     * @param draft collects the answers, not null
     * @param now the present time, not null
     * @return the state afterwards, never null
     */
    static CellState serve(
            final Blackboard board, final CellName cell, final CellState state, final Draft draft, final Instant now) {
        CellState current = state;
        if (!board.membership().mayAct(board.identity().incarnation(), now)) {
            return current;
        }
        while (!current.waiting().isEmpty()) {
            final WaitingPlacement first = first(current);
            final Optional<Reservation> room = CellRoom.choose(board, cell, current, first, now);
            if (room.isEmpty()) {
                return current;
            }
            current = current.dequeue(first).hold(room.get(), now).serve(first.payer(), first.tokens());
            answer(board, first, PlacementVerdict.GIVEN, room, draft);
        }
        return current;
    }

    /**
     * Refuses a request if too many wait: the one with the latest deadline of the team that has the most of them.
     *
     * @param board the blackboard, not null
     * @param state the cell's state, not null
     * @param draft collects the answer, not null
     * @return the state afterwards, never null
     */
    static CellState shed(final Blackboard board, final CellState state, final Draft draft) {
        if (state.waiting().size() <= board.identity().policy().queueLimit()) {
            return state;
        }
        final Map<TeamName, Long> counts =
                state.waiting().stream().collect(Collectors.groupingBy(WaitingPlacement::payer, Collectors.counting()));
        final WaitingPlacement shed = state.waiting().stream()
                .max(Comparator.comparingLong((WaitingPlacement waiting) -> counts.get(waiting.payer()))
                        .thenComparing(WaitingPlacement::deadline))
                .orElseThrow();
        answer(board, shed, PlacementVerdict.NO_ROOM, Optional.empty(), draft);
        return state.dequeue(shed);
    }

    private static WaitingPlacement first(final CellState state) {
        final PMap<TeamName, Long> served = state.served();
        return state.waiting().stream()
                .min(Comparator.comparingLong((WaitingPlacement waiting) -> served.getOrDefault(waiting.payer(), 0L))
                        .thenComparing(WaitingPlacement::deadline)
                        .thenComparing(waiting -> waiting.attempt().toString()))
                .orElseThrow();
    }

    private static void answer(
            final Blackboard board,
            final WaitingPlacement waiting,
            final PlacementVerdict verdict,
            final Optional<Reservation> room,
            final Draft draft) {
        PeerReply.to(board, waiting.owner(), new PeerMessage.PlacementAnswer(waiting.attempt(), verdict, room))
                .ifPresent(draft::add);
    }
}
