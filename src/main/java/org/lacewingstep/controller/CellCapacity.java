package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.HeldReservation;
import org.lacewingstep.blackboard.CellSection.WaitingPlacement;
import org.lacewingstep.blackboard.UpstreamSection.UpstreamState;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Computes the free capacity of the upstreams of a cell and chooses upstreams for requests. */
final class CellCapacity {
    private CellCapacity() {}

    /**
     * Checks whether an upstream of a cell would have enough memory for a request if it were idle.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param pieces the number of memory pieces that the request needs
     * @return true if an upstream other than a prefill upstream is large enough
     */
    static boolean fitsAnyUpstream(final Blackboard board, final CellName cell, final int pieces) {
        return board.configuration().inForce().upstreamsOf(cell).stream()
                .filter(upstream -> upstream.role() != UpstreamRole.PREFILL)
                .anyMatch(upstream -> upstream.memoryPieces() >= pieces);
    }

    /**
     * Chooses the target upstream for a request, then a prefill upstream if the target needs one.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param state the state of the cell, not null
     * @param waiting the queued request, not null
     * @param now the present time, not null
     * @return the reservation, empty if the upstreams lack capacity
     */
    static Optional<Reservation> choose(
            final Blackboard board,
            final CellName cell,
            final CellState state,
            final WaitingPlacement waiting,
            final Instant now) {
        final List<Upstream> upstreams = board.configuration().inForce().upstreamsOf(cell);
        final Optional<Upstream> target = leastUsed(board, state, upstreams, UpstreamRole.DECODE, waiting, now)
                .or(() -> leastUsed(board, state, upstreams, UpstreamRole.PLAIN, waiting, now));
        if (target.isEmpty()) {
            return Optional.empty();
        }
        if (target.get().role() == UpstreamRole.PLAIN) {
            return Optional.of(reserve(cell, waiting, Optional.empty(), target.get()));
        }
        return leastUsed(board, state, upstreams, UpstreamRole.PREFILL, waiting, now)
                .map(prefill -> reserve(cell, waiting, Optional.of(prefill.name()), target.get()));
    }

    private static Reservation reserve(
            final CellName cell,
            final WaitingPlacement waiting,
            final Optional<UpstreamName> prefill,
            final Upstream target) {
        return new Reservation(waiting.attempt(), waiting.owner(), cell, prefill, target.name(), waiting.pieces());
    }

    /**
     * Finds the upstream of a role with the smallest share of its memory in use. An upstream that failed the request
     * before is chosen only if no other has capacity.
     */
    private static Optional<Upstream> leastUsed(
            final Blackboard board,
            final CellState state,
            final List<Upstream> upstreams,
            final UpstreamRole role,
            final WaitingPlacement waiting,
            final Instant now) {
        final int pieces = role == UpstreamRole.PREFILL ? 1 : waiting.pieces();
        final Set<UpstreamName> avoided = waiting.avoided();
        return upstreams.stream()
                .filter(upstream -> upstream.role() == role)
                .filter(upstream -> hasCapacity(board, state, upstream, pieces, now))
                .min(Comparator.comparing((Upstream upstream) -> avoided.contains(upstream.name()))
                        .thenComparingDouble(
                                upstream -> (double) usedPieces(board, state, upstream) / upstream.memoryPieces())
                        .thenComparing(Upstream::name));
    }

    private static boolean hasCapacity(
            final Blackboard board,
            final CellState state,
            final Upstream upstream,
            final int pieces,
            final Instant now) {
        final UpstreamState upstreamState = board.upstreams().find(upstream.name());
        if (!board.configuration().inForce().acceptsRequests(upstream.name())
                || !upstreamState.isReporting(board.identity().policy().loadSilenceLimit(), now)) {
            return false;
        }
        if (!upstreamState.warm() && countAttempts(board, state, upstream) >= upstreamState.allowance()) {
            return false;
        }
        return usedPieces(board, state, upstream) + pieces <= upstream.memoryPieces();
    }

    private static long countAttempts(final Blackboard board, final CellState state, final Upstream upstream) {
        final long reserved = state.reservations().values().stream()
                .filter(held -> isReservedAt(held.reservation(), upstream.name()))
                .count();
        return reserved + unaccountedMemory(board, state, upstream).size();
    }

    private static int usedPieces(final Blackboard board, final CellState state, final Upstream upstream) {
        final int reserved = state.reservations().values().stream()
                .map(HeldReservation::reservation)
                .filter(reservation -> isReservedAt(reservation, upstream.name()))
                .mapToInt(reservation -> upstream.role() == UpstreamRole.PREFILL ? 1 : reservation.pieces())
                .sum();
        final int unaccounted = unaccountedMemory(board, state, upstream).stream()
                .mapToInt(LoadReport.HeldMemory::pieces)
                .sum();
        return reserved + unaccounted;
    }

    private static boolean isReservedAt(final Reservation reservation, final UpstreamName name) {
        return reservation.target().equals(name)
                || reservation.prefill().filter(name::equals).isPresent();
    }

    /**
     * Lists the memory that the upstream reports as held by attempts that have no reservation and were not released
     * recently.
     */
    private static List<LoadReport.HeldMemory> unaccountedMemory(
            final Blackboard board, final CellState state, final Upstream upstream) {
        return board.upstreams().find(upstream.name()).report().stream()
                .flatMap(report -> report.held().stream())
                .filter(held -> !state.reservations().containsKey(held.attempt())
                        && !state.released().containsKey(held.attempt()))
                .toList();
    }
}
