package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.Held;
import org.lacewingstep.blackboard.CellSection.WaitingPlacement;
import org.lacewingstep.blackboard.UpstreamSection.UpstreamState;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

/** Computes the room left at the upstreams of a cell and chooses among them. */
final class CellRoom {
    private CellRoom() {}

    /**
     * Tells whether any upstream of a cell is large enough for a request.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param pieces the pieces of memory needed
     * @return true if one is
     */
    static boolean canEverFit(final Blackboard board, final CellName cell, final int pieces) {
        return board.configuration().inForce().upstreamsOf(cell).stream()
                .filter(upstream -> upstream.role() != UpstreamRole.PREFILL)
                .anyMatch(upstream -> upstream.memoryPieces() >= pieces);
    }

    /**
     * Chooses the upstreams for a request, the target before the prefill.
     *
     * @param board the blackboard, not null
     * @param cell the cell, not null
     * @param state the cell's state, not null
     * @param waiting the request, not null
     * @param now the present time, not null
     * @return the reservation, empty if there is no room
     */
    static Optional<Reservation> choose(
            final Blackboard board,
            final CellName cell,
            final CellState state,
            final WaitingPlacement waiting,
            final Instant now) {
        final List<Upstream> upstreams = board.configuration().inForce().upstreamsOf(cell);
        final Optional<Upstream> target = best(board, state, upstreams, UpstreamRole.DECODE, waiting, now)
                .or(() -> best(board, state, upstreams, UpstreamRole.PLAIN, waiting, now));
        if (target.isEmpty()) {
            return Optional.empty();
        }
        if (target.get().role() == UpstreamRole.PLAIN) {
            return Optional.of(reserve(cell, waiting, Optional.empty(), target.get()));
        }
        return best(board, state, upstreams, UpstreamRole.PREFILL, waiting, now)
                .map(prefill -> reserve(cell, waiting, Optional.of(prefill.name()), target.get()));
    }

    private static Reservation reserve(
            final CellName cell,
            final WaitingPlacement waiting,
            final Optional<UpstreamName> prefill,
            final Upstream target) {
        return new Reservation(waiting.attempt(), waiting.owner(), cell, prefill, target.name(), waiting.pieces());
    }

    /** An upstream that failed the request before is chosen only if there is no other. */
    private static Optional<Upstream> best(
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
                .filter(upstream -> hasRoom(board, state, upstream, pieces, now))
                .min(Comparator.comparing((Upstream upstream) -> avoided.contains(upstream.name()))
                        .thenComparingDouble(
                                upstream -> (double) used(board, state, upstream) / upstream.memoryPieces())
                        .thenComparing(Upstream::name));
    }

    private static boolean hasRoom(
            final Blackboard board,
            final CellState state,
            final Upstream upstream,
            final int pieces,
            final Instant now) {
        final UpstreamState known = board.upstreams().find(upstream.name());
        if (!board.configuration().inForce().acceptsWork(upstream.name())
                || !known.isReporting(board.identity().policy().loadSilenceLimit(), now)) {
            return false;
        }
        if (!known.warm() && attempts(board, state, upstream) >= known.allowance()) {
            return false;
        }
        return used(board, state, upstream) + pieces <= upstream.memoryPieces();
    }

    private static long attempts(final Blackboard board, final CellState state, final Upstream upstream) {
        final long reserved = state.reservations().values().stream()
                .filter(held -> uses(held.reservation(), upstream.name()))
                .count();
        return reserved + unaccounted(board, state, upstream).size();
    }

    private static int used(final Blackboard board, final CellState state, final Upstream upstream) {
        final int reserved = state.reservations().values().stream()
                .map(Held::reservation)
                .filter(reservation -> uses(reservation, upstream.name()))
                .mapToInt(reservation -> upstream.role() == UpstreamRole.PREFILL ? 1 : reservation.pieces())
                .sum();
        final int unaccounted = unaccounted(board, state, upstream).stream()
                .mapToInt(LoadReport.HeldMemory::pieces)
                .sum();
        return reserved + unaccounted;
    }

    private static boolean uses(final Reservation reservation, final UpstreamName name) {
        return reservation.target().equals(name)
                || reservation.prefill().filter(name::equals).isPresent();
    }

    /** What the upstream reports as held although no reservation accounts for it and none was released lately. */
    private static List<LoadReport.HeldMemory> unaccounted(
            final Blackboard board, final CellState state, final Upstream upstream) {
        return board.upstreams().find(upstream.name()).report().stream()
                .flatMap(report -> report.held().stream())
                .filter(held -> !state.reservations().containsKey(held.attempt())
                        && !state.released().containsKey(held.attempt()))
                .toList();
    }
}
