package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.HeldReservation;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Incarnation;
import org.pcollections.PMap;

/** Sends audits of reservations that were not confirmed recently to their owners, since a release may be lost. */
final class ReservationAuditor {
    /** How long a lagging load report may still contain an attempt that was released. */
    static final Duration RELEASED_RETENTION = Duration.ofSeconds(3);

    private ReservationAuditor() {}

    /**
     * Sends the audits that are due and drops old entries from the released attempts.
     *
     * @param board the blackboard, not null
     * @param state the state of the cell, not null
     * @param builder collects the audits, not null
     * @param now the present time, not null
     * @return the state without the attempts whose retention has ended, never null
     */
    static CellState audit(
            final Blackboard board, final CellState state, final OutcomeBuilder builder, final Instant now) {
        final Instant limit = now.minus(board.identity().policy().auditInterval());
        final Map<Incarnation, List<AttemptIdentifier>> audits = new HashMap<>();
        for (final HeldReservation held : state.reservations().values()) {
            if (held.confirmedAt().isBefore(limit) && held.closingAt().isEmpty()) {
                audits.computeIfAbsent(held.reservation().owner(), owner -> new ArrayList<>())
                        .add(held.reservation().attempt());
            }
        }
        audits.forEach((owner, attempts) -> PeerMessages.to(
                        board, owner, new PeerMessage.ReservationAudit(List.copyOf(attempts)))
                .ifPresent(builder::add));
        return pruneReleased(state, now);
    }

    private static CellState pruneReleased(final CellState state, final Instant now) {
        PMap<AttemptIdentifier, Instant> kept = state.released();
        for (final Map.Entry<AttemptIdentifier, Instant> entry :
                state.released().entrySet()) {
            final boolean expired = now.isAfter(entry.getValue().plus(RELEASED_RETENTION));
            kept = expired ? kept.minus(entry.getKey()) : kept;
        }
        return state.withReleased(kept);
    }
}
