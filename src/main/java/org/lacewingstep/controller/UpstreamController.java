package org.lacewingstep.controller;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.UpstreamSection;
import org.lacewingstep.blackboard.UpstreamSection.UpstreamState;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Polls the load of the upstreams in the cells that this process owns, and ramps up upstreams in a cold start. */
public final class UpstreamController implements Controller<UpstreamSection> {
    @Override
    public Class<UpstreamSection> section() {
        return UpstreamSection.class;
    }

    @Override
    public Outcome<UpstreamSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.Started() -> fetchLoads(board, now);
            case Event.TimerFired(TimerKey.LoadReports()) -> fetchLoads(board, now);
            case Event.LoadReported(UpstreamName upstream, LoadReport report) ->
                applyLoadReport(board, upstream, report, now);
            case Event.UpstreamAttemptEnded(UpstreamName upstream, boolean succeeded) ->
                applyResult(board, upstream, succeeded);
            default -> Outcome.of(board.upstreams());
        };
    }

    private static Outcome<UpstreamSection> fetchLoads(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(
                new TimerKey.LoadReports(), now.plus(board.identity().policy().loadInterval())));
        final List<Upstream> owned = ownedUpstreams(board);
        PMap<UpstreamName, UpstreamState> kept = HashTreePMap.empty();
        for (final Upstream upstream : owned) {
            builder.add(new Effect.FetchLoad(upstream));
            kept = kept.plus(upstream.name(), board.upstreams().find(upstream.name()));
        }
        return builder.outcome(new UpstreamSection(kept));
    }

    private static List<Upstream> ownedUpstreams(final Blackboard board) {
        final List<CellName> cells = board.configuration().inForce().cells().stream()
                .filter(cell -> board.membership()
                        .isShardOwner(
                                new Shard.CellShard(cell), board.identity().incarnation()))
                .toList();
        return cells.stream()
                .flatMap(cell -> board.configuration().inForce().upstreamsOf(cell).stream())
                .toList();
    }

    private static Outcome<UpstreamSection> applyLoadReport(
            final Blackboard board, final UpstreamName name, final LoadReport report, final Instant now) {
        final UpstreamState state = board.upstreams().find(name);
        final Optional<LoadReport> earlier = state.report();
        final boolean sameStart = earlier.filter(last -> last.startIdentifier().equals(report.startIdentifier()))
                .isPresent();
        final boolean turnedCold =
                report.cold() && earlier.filter(last -> !last.cold()).isPresent();
        final Optional<LoadReport> reported = Optional.of(report);
        final UpstreamState next = sameStart && !turnedCold
                ? new UpstreamState(reported, Optional.of(now), state.allowance(), state.warm())
                : new UpstreamState(reported, Optional.of(now), firstAllowance(board, earlier, report), false);
        return Outcome.of(withState(board, name, next));
    }

    /**
     * Computes the allowance after the first report, a restart or a return to a cold start. An upstream without an
     * earlier report may be warm already, so its current number of attempts stays permitted unless it reports a cold
     * start. An upstream that restarted begins at the floor.
     */
    private static int firstAllowance(
            final Blackboard board, final Optional<LoadReport> earlier, final LoadReport report) {
        final int floor = board.identity().policy().coldStartFloor();
        final boolean mayBeWarm = earlier.isEmpty() && !report.cold();
        return mayBeWarm ? Math.max(floor, report.held().size()) : floor;
    }

    private static Outcome<UpstreamSection> applyResult(
            final Blackboard board, final UpstreamName name, final boolean succeeded) {
        final Upstream upstream = board.configuration().inForce().upstreams().get(name);
        final UpstreamState state = board.upstreams().find(name);
        if (upstream == null || state.report().isEmpty()) {
            return Outcome.of(board.upstreams());
        }
        final int floor = board.identity().policy().coldStartFloor();
        final int allowance = succeeded ? Math.min(upstream.memoryPieces(), state.allowance() + 1) : floor;
        final boolean warm = succeeded && (state.warm() || allowance >= upstream.memoryPieces());
        return Outcome.of(
                withState(board, name, new UpstreamState(state.report(), state.reportedAt(), allowance, warm)));
    }

    private static UpstreamSection withState(
            final Blackboard board, final UpstreamName name, final UpstreamState state) {
        return new UpstreamSection(board.upstreams().states().plus(name, state));
    }
}
