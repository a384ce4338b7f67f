package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.HeldReservation;
import org.lacewingstep.blackboard.CellSection.ReportedReservations;
import org.lacewingstep.blackboard.CellSection.WaitingPlacement;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.PlacementVerdict;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/** Reserves upstream capacity for requests in the cells whose shards this process owns. */
public final class CellController implements Controller<CellSection> {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    @Override
    public Class<CellSection> section() {
        return CellSection.class;
    }

    @Override
    public Outcome<CellSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.Started() -> check(board, now);
            case Event.TimerFired(TimerKey.CellCheck()) -> check(board, now);
            case Event.RosterAdopted(Roster previous) -> Outcome.of(retainOwned(board));
            case Event.RosterSettled(long epoch) -> Outcome.of(adoptCells(board, now));
            case Event.ConfigurationAdopted(long generation) -> Outcome.of(adoptCells(board, now));
            case Event.LoadReported(UpstreamName upstream, LoadReport report) ->
                applyLoadReport(board, upstream, report, now);
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(board.cells());
        };
    }

    private static Outcome<CellSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        return switch (message) {
            case PeerMessage.PlacementRequest request -> enqueueRequest(board, sender, request, now);
            case PeerMessage.PlacementRelease release -> release(board, release, now);
            case PeerMessage.EpochAcknowledged(long epoch, List<Reservation> reservations) ->
                Outcome.of(storeReportedReservations(board, sender, epoch, reservations));
            case PeerMessage.ReservationStatus status -> Outcome.of(confirmReservations(board, sender, status, now));
            default -> Outcome.of(board.cells());
        };
    }

    private static Outcome<CellSection> enqueueRequest(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.PlacementRequest request,
            final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final CellState state = board.cells().cells().get(request.cell());
        if (state == null || !board.membership().mayServeShards(board.identity().incarnation(), now)) {
            respond(board, sender, request.attempt(), PlacementVerdict.NOT_OWNER, builder);
            return builder.outcome(board.cells());
        }
        if (state.reservations().containsKey(request.attempt()) || isWaiting(state, request.attempt())) {
            return builder.outcome(board.cells());
        }
        if (!CellCapacity.fitsAnyUpstream(board, request.cell(), request.pieces())) {
            respond(board, sender, request.attempt(), PlacementVerdict.NO_CAPACITY, builder);
            return builder.outcome(board.cells());
        }
        final WaitingPlacement waiting = new WaitingPlacement(
                request.attempt(),
                sender,
                request.team(),
                request.tokens(),
                request.pieces(),
                HashTreePSet.from(request.avoided()),
                now.plus(request.waitLimit()));
        final CellState queued = PlacementQueue.shed(board, state.enqueue(waiting), builder);
        final CellState next = PlacementQueue.serve(board, request.cell(), queued, builder, now);
        if (isWaiting(next, request.attempt())) {
            respond(board, sender, request.attempt(), PlacementVerdict.QUEUED, builder);
        }
        return builder.outcome(board.cells().with(request.cell(), next));
    }

    private static boolean isWaiting(final CellState state, final AttemptIdentifier attempt) {
        return state.waiting().stream().anyMatch(waiting -> waiting.attempt().equals(attempt));
    }

    private static Outcome<CellSection> release(
            final Blackboard board, final PeerMessage.PlacementRelease release, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final CellState state = board.cells().cells().get(release.cell());
        if (state == null) {
            return builder.outcome(board.cells().withoutReported(release.attempt()));
        }
        final HeldReservation held = state.reservations().get(release.attempt());
        if (held != null) {
            reportResults(held.reservation(), release, builder);
        }
        final CellState afterRelease = release.completed()
                ? state.release(release.attempt(), now)
                : state.startClosing(release.attempt(), now);
        final CellState next = PlacementQueue.serve(board, release.cell(), afterRelease, builder, now);
        return builder.outcome(board.cells().with(release.cell(), next));
    }

    private static void reportResults(
            final Reservation reservation, final PeerMessage.PlacementRelease release, final OutcomeBuilder builder) {
        if (release.completed()) {
            builder.add(new Event.UpstreamAttemptEnded(reservation.target(), true));
            reservation.prefill().ifPresent(prefill -> builder.add(new Event.UpstreamAttemptEnded(prefill, true)));
        }
        release.failedUpstream()
                .ifPresent(failedUpstream -> builder.add(new Event.UpstreamAttemptEnded(failedUpstream, false)));
    }

    private static CellSection storeReportedReservations(
            final Blackboard board, final Incarnation sender, final long epoch, final List<Reservation> reservations) {
        final CellSection section = board.cells();
        final ReportedReservations stored = section.reported().get(sender);
        if (epoch < board.membership().roster().epoch() || (stored != null && stored.epoch() > epoch)) {
            return section;
        }
        return new CellSection(
                section.cells(), section.reported().plus(sender, new ReportedReservations(epoch, reservations)));
    }

    private static CellSection confirmReservations(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.ReservationStatus status,
            final Instant now) {
        CellSection section = board.cells();
        for (final Map.Entry<CellName, CellState> entry : section.cells().entrySet()) {
            CellState state = entry.getValue();
            for (final AttemptIdentifier attempt : status.alive()) {
                state = state.confirm(attempt, now);
            }
            for (final AttemptIdentifier attempt : status.ended()) {
                final HeldReservation held = state.reservations().get(attempt);
                final boolean owned = held != null && held.reservation().owner().equals(sender);
                state = owned ? state.startClosing(attempt, now) : state;
            }
            section = section.with(entry.getKey(), state);
        }
        return section;
    }

    private static CellSection retainOwned(final Blackboard board) {
        final CellSection section = board.cells();
        PMap<CellName, CellState> kept = section.cells();
        for (final CellName cell : section.cells().keySet()) {
            kept = isOwnedHere(board, cell) ? kept : kept.minus(cell);
        }
        return new CellSection(kept, section.reported());
    }

    /**
     * Adopts the cells owned under the settled roster. All members have reported their reservations for the roster's
     * epoch, so the restored reservations are complete.
     */
    private static CellSection adoptCells(final Blackboard board, final Instant now) {
        if (!board.membership().agreement().settled()) {
            return board.cells();
        }
        PMap<CellName, CellState> cells = HashTreePMap.empty();
        for (final CellName cell : board.configuration().inForce().cells()) {
            if (isOwnedHere(board, cell)) {
                final CellState existing = board.cells().cells().get(cell);
                cells = cells.plus(cell, existing == null ? restoreReservations(board, cell, now) : existing);
            }
        }
        return new CellSection(cells, HashTreePMap.empty());
    }

    private static boolean isOwnedHere(final Blackboard board, final CellName cell) {
        return board.membership()
                .isShardOwner(new Shard.CellShard(cell), board.identity().incarnation());
    }

    private static CellState restoreReservations(final Blackboard board, final CellName cell, final Instant now) {
        CellState state = CellState.EMPTY;
        for (final ReportedReservations report : board.cells().reported().values()) {
            for (final Reservation reservation : report.reservations()) {
                state = reservation.cell().equals(cell) ? state.addReservation(reservation, now) : state;
            }
        }
        for (final Reservation reservation : HeldReservations.of(board.requests())) {
            state = reservation.cell().equals(cell) ? state.addReservation(reservation, now) : state;
        }
        return state;
    }

    private static Outcome<CellSection> applyLoadReport(
            final Blackboard board, final UpstreamName name, final LoadReport report, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final Upstream upstream = board.configuration().inForce().upstreams().get(name);
        final CellState state = upstream == null ? null : board.cells().cells().get(upstream.cell());
        if (state == null) {
            return builder.outcome(board.cells());
        }
        final CellState swept = OrphanSweep.sweep(board, state, upstream, report, builder, now);
        final CellState next = PlacementQueue.serve(board, upstream.cell(), swept, builder, now);
        return builder.outcome(board.cells().with(upstream.cell(), next));
    }

    private static Outcome<CellSection> check(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(new TimerKey.CellCheck(), now.plus(CHECK_INTERVAL)));
        CellSection section = board.cells();
        for (final Map.Entry<CellName, CellState> entry : section.cells().entrySet()) {
            CellState state = PlacementQueue.expire(board, entry.getValue(), builder, now);
            state = ReservationAuditor.audit(board, state, builder, now);
            section = section.with(entry.getKey(), PlacementQueue.serve(board, entry.getKey(), state, builder, now));
        }
        return builder.outcome(section);
    }

    private static void respond(
            final Blackboard board,
            final Incarnation requester,
            final AttemptIdentifier attempt,
            final PlacementVerdict verdict,
            final OutcomeBuilder builder) {
        PeerMessages.to(board, requester, new PeerMessage.PlacementResponse(attempt, verdict, Optional.empty()))
                .ifPresent(builder::add);
    }
}
