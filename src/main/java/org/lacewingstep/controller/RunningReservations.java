package org.lacewingstep.controller;

import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Reservation;

/** Finds the reservations that requests of this process hold. */
final class RunningReservations {
    private RunningReservations() {}

    /**
     * Lists the reservations held.
     *
     * @param section the requests, not null
     * @return the reservations, never null
     */
    static List<Reservation> of(final RequestSection section) {
        return section.requests().values().stream()
                .map(RequestState::phase)
                .filter(Phase.Running.class::isInstance)
                .map(phase -> ((Phase.Running) phase).reservation())
                .toList();
    }

    /**
     * Finds the reservation that an attempt holds.
     *
     * @param section the requests, not null
     * @param attempt the attempt, not null
     * @return the reservation, empty if the attempt has ended or never ran
     */
    static Optional<Reservation> find(final RequestSection section, final AttemptIdentifier attempt) {
        final RequestState state = section.requests().get(attempt.request());
        if (state == null || !(state.phase() instanceof Phase.Running(Reservation reservation))) {
            return Optional.empty();
        }
        return reservation.attempt().equals(attempt) ? Optional.of(reservation) : Optional.empty();
    }
}
