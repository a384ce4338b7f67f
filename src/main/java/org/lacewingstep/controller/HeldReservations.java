package org.lacewingstep.controller;

import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.RequestSection.Phase;
import org.lacewingstep.blackboard.RequestSection.RequestState;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Reservation;

/** Finds the reservations held by the requests of this process. */
final class HeldReservations {
    private HeldReservations() {}

    /**
     * Lists the reservations held by all requests.
     *
     * @param section the requests, not null
     * @return the reservations, never null
     */
    static List<Reservation> of(final RequestSection section) {
        return section.requests().values().stream()
                .flatMap(state -> held(state.phase()).stream())
                .toList();
    }

    /**
     * Finds the reservation that an attempt holds.
     *
     * @param section the requests, not null
     * @param attempt the identifier of the attempt, not null
     * @return the reservation, empty if the attempt has ended or never held one
     */
    static Optional<Reservation> find(final RequestSection section, final AttemptIdentifier attempt) {
        final RequestState state = section.requests().get(attempt.request());
        return Optional.ofNullable(state)
                .flatMap(found -> held(found.phase()))
                .filter(reservation -> reservation.attempt().equals(attempt));
    }

    private static Optional<Reservation> held(final Phase phase) {
        return switch (phase) {
            case Phase.AwaitingTokens() -> Optional.empty();
            case Phase.AwaitingHome() -> Optional.empty();
            case Phase.AwaitingPlacement waiting -> Optional.empty();
            case Phase.RenewingTokens(Reservation reservation) -> Optional.of(reservation);
            case Phase.Claiming(Reservation reservation) -> Optional.of(reservation);
            case Phase.Running(Reservation reservation) -> Optional.of(reservation);
        };
    }
}
