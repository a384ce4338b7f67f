package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.HeldReservation;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.PMap;

/** Cancels attempts whose owner is no longer a member, and releases the reservations of ended or ownerless attempts. */
final class OrphanSweep {
    /**
     * How long an owner must be absent from the roster before its attempts are cancelled. Callers may resume until
     * then.
     */
    static final Duration GRACE_PERIOD = Duration.ofSeconds(5);

    private OrphanSweep() {}

    /**
     * Cancels the attempts in a load report whose owner left the roster, and releases abandoned reservations.
     *
     * @param board the blackboard, not null
     * @param state the state of the cell, not null
     * @param upstream the upstream that reported, not null
     * @param report the load report, not null
     * @param builder collects the cancellations, not null
     * @param now the present time, not null
     * @return the updated state, never null
     */
    static CellState sweep(
            final Blackboard board,
            final CellState state,
            final Upstream upstream,
            final LoadReport report,
            final OutcomeBuilder builder,
            final Instant now) {
        PMap<AttemptIdentifier, Instant> orphans = state.orphanedSince();
        for (final LoadReport.HeldMemory held : report.held()) {
            if (board.membership().roster().contains(held.owner())) {
                continue;
            }
            final Instant since = orphans.getOrDefault(held.attempt(), now);
            orphans = orphans.plus(held.attempt(), since);
            if (!now.isBefore(since.plus(GRACE_PERIOD))) {
                builder.add(new Effect.CancelAttempt(upstream, held.attempt()));
            }
        }
        return releaseAbandoned(board, state.withOrphans(prune(orphans, now)), upstream.name(), report, now);
    }

    /**
     * Releases reservations at the upstream that were closed without a complete response, or whose owner left the
     * roster, once the load report no longer contains them.
     */
    private static CellState releaseAbandoned(
            final Blackboard board,
            final CellState state,
            final UpstreamName upstream,
            final LoadReport report,
            final Instant now) {
        final Set<AttemptIdentifier> reportedAttempts =
                report.held().stream().map(LoadReport.HeldMemory::attempt).collect(Collectors.toSet());
        CellState next = state;
        for (final Map.Entry<AttemptIdentifier, HeldReservation> entry :
                state.reservations().entrySet()) {
            final HeldReservation held = entry.getValue();
            final boolean atUpstream = held.reservation().target().equals(upstream);
            if (atUpstream && !reportedAttempts.contains(entry.getKey()) && isAbandoned(board, held, now)) {
                next = next.release(entry.getKey(), now);
            }
        }
        return next;
    }

    private static boolean isAbandoned(final Blackboard board, final HeldReservation held, final Instant now) {
        if (held.closingAt().isPresent()) {
            final Duration reportLag = board.identity().policy().loadInterval();
            return !now.isBefore(held.closingAt().get().plus(reportLag));
        }
        final boolean ownerLeft =
                !board.membership().roster().contains(held.reservation().owner());
        return ownerLeft && !now.isBefore(held.confirmedAt().plus(GRACE_PERIOD));
    }

    private static PMap<AttemptIdentifier, Instant> prune(
            final PMap<AttemptIdentifier, Instant> orphans, final Instant now) {
        PMap<AttemptIdentifier, Instant> kept = orphans;
        for (final Map.Entry<AttemptIdentifier, Instant> entry : orphans.entrySet()) {
            final boolean expired = now.isAfter(entry.getValue().plus(GRACE_PERIOD.multipliedBy(6)));
            kept = expired ? kept.minus(entry.getKey()) : kept;
        }
        return kept;
    }
}
