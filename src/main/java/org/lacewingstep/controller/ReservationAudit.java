package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.Held;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Incarnation;
import org.pcollections.PMap;

/** Asks owners about reservations that were not confirmed for long, since a release may be lost. */
final class ReservationAudit {
    /** How long a lagging load report may show an attempt that has ended. */
    static final Duration RELEASED_MEMORY = Duration.ofSeconds(3);

    private ReservationAudit() {}

    /**
     * Sends the questions that are due.
     *
     * @param board the blackboard, not null
     * @param state the cell's state, not null
     * @param draft collects the questions, not null
     * @param now the present time, not null
     * @return the state without what has been released for long, never null
     */
    static CellState audit(final Blackboard board, final CellState state, final Draft draft, final Instant now) {
        final Instant limit = now.minus(board.identity().policy().auditInterval());
        final Map<Incarnation, List<AttemptIdentifier>> questions = new HashMap<>();
        for (final Held held : state.reservations().values()) {
            if (held.confirmedAt().isBefore(limit) && held.closingAt().isEmpty()) {
                questions
                        .computeIfAbsent(held.reservation().owner(), owner -> new ArrayList<>())
                        .add(held.reservation().attempt());
            }
        }
        questions.forEach(
                (owner, attempts) -> PeerReply.to(board, owner, new PeerMessage.ReservationAudit(List.copyOf(attempts)))
                        .ifPresent(draft::add));
        return forgetReleased(state, now);
    }

    private static CellState forgetReleased(final CellState state, final Instant now) {
        PMap<AttemptIdentifier, Instant> kept = state.released();
        for (final Map.Entry<AttemptIdentifier, Instant> entry :
                state.released().entrySet()) {
            final boolean old = now.isAfter(entry.getValue().plus(RELEASED_MEMORY));
            kept = old ? kept.minus(entry.getKey()) : kept;
        }
        return state.withReleased(kept);
    }
}
