package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CellSection.CellState;
import org.lacewingstep.blackboard.CellSection.Held;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.PMap;

/** Cancels attempts whose owner is no member any more. */
final class OrphanSweep {
    /** How long an owner must be gone before its attempts are cancelled; callers may resume until then. */
    static final Duration GRACE = Duration.ofSeconds(5);

    private OrphanSweep() {}

    /**
     * Compares a load report with the roster.
     *
     * @param board the blackboard, not null
     * @param state the cell's state, not null
     * @param upstream the upstream that reported, not null
     * @param report the report, not null
     * @param draft collects the cancellations, not null
     * @param now the present time, not null
     * @return the state afterwards, never null
     */
    static CellState sweep(
            final Blackboard board,
            final CellState state,
            final Upstream upstream,
            final LoadReport report,
            final Draft draft,
            final Instant now) {
        PMap<AttemptIdentifier, Instant> orphans = state.orphanedSince();
        for (final LoadReport.HeldMemory held : report.held()) {
            if (board.membership().roster().contains(held.owner())) {
                continue;
            }
            final Instant since = orphans.getOrDefault(held.attempt(), now);
            orphans = orphans.plus(held.attempt(), since);
            if (!now.isBefore(since.plus(GRACE))) {
                draft.add(new Effect.CancelAttempt(upstream, held.attempt()));
            }
        }
        return dropAbandoned(board, state.withOrphans(prune(orphans, now)), upstream.name(), report, now);
    }

    /**
     * A reservation that was released without an answer, or whose owner is gone, ends once the upstream no longer shows
     * it.
     */
    private static CellState dropAbandoned(
            final Blackboard board,
            final CellState state,
            final UpstreamName upstream,
            final LoadReport report,
            final Instant now) {
        final Set<AttemptIdentifier> shown =
                report.held().stream().map(LoadReport.HeldMemory::attempt).collect(Collectors.toSet());
        CellState next = state;
        for (final Map.Entry<AttemptIdentifier, Held> entry :
                state.reservations().entrySet()) {
            final Held held = entry.getValue();
            final boolean here = held.reservation().target().equals(upstream);
            if (here && !shown.contains(entry.getKey()) && isOver(board, held, now)) {
                next = next.release(entry.getKey(), now);
            }
        }
        return next;
    }

    private static boolean isOver(final Blackboard board, final Held held, final Instant now) {
        if (held.closingAt().isPresent()) {
            final Duration lag = board.identity().policy().loadInterval();
            return !now.isBefore(held.closingAt().get().plus(lag));
        }
        final boolean gone =
                !board.membership().roster().contains(held.reservation().owner());
        return gone && !now.isBefore(held.confirmedAt().plus(GRACE));
    }

    private static PMap<AttemptIdentifier, Instant> prune(
            final PMap<AttemptIdentifier, Instant> orphans, final Instant now) {
        PMap<AttemptIdentifier, Instant> kept = orphans;
        for (final Map.Entry<AttemptIdentifier, Instant> entry : orphans.entrySet()) {
            final boolean old = now.isAfter(entry.getValue().plus(GRACE.multipliedBy(6)));
            kept = old ? kept.minus(entry.getKey()) : kept;
        }
        return kept;
    }
}
