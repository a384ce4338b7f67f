package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.UpstreamLoadSection;
import org.lacewingstep.blackboard.UpstreamLoadSection.Load;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.PVector;

/** Counts what this instance has at upstreams and judges them by how they served it. */
public final class UpstreamLoadController implements Controller<UpstreamLoadSection> {
    /** An upstream that refused since it is full is left alone for so long. */
    private static final Duration FULL_REST = Duration.ofMillis(150);

    /** An upstream that sends nothing gets no new work for so long. */
    private static final Duration QUIET_REST = Duration.ofSeconds(1);

    /** First rest of an upstream that cannot be reached or fell silent; doubled with each further failure. */
    private static final Duration SILENT_REST = Duration.ofSeconds(1);

    /** Longest rest of an upstream. */
    private static final Duration LONGEST_REST = Duration.ofSeconds(8);

    /** Failures in a row after which an upstream rests. */
    private static final int FAILURES_TO_REST = 2;

    /** Weight of the latest attempt in the share of failures. */
    private static final double LATEST_WEIGHT = 0.2;

    private static final int SERVER_ERROR = 500;
    private static final int HIGHEST_DOUBLING = 3;

    @Override
    public Class<UpstreamLoadSection> section() {
        return UpstreamLoadSection.class;
    }

    @Override
    public Outcome<UpstreamLoadSection> step(final Blackboard board, final Event event, final Instant now) {
        final UpstreamLoadSection section = board.serving().loads();
        return Outcome.of(
                switch (event) {
                    case Event.UpstreamOccupied(RegisteredUpstream upstream) -> occupied(section, upstream, now);
                    case Event.UpstreamReleased(UpstreamName name, Optional<CallResult> result) ->
                        released(section, name, result, now);
                    case Event.UpstreamQuiet(UpstreamName name) ->
                        with(section, name, resting(section.of(name), now.plus(QUIET_REST)));
                    default -> section;
                });
    }

    private static UpstreamLoadSection occupied(
            final UpstreamLoadSection section, final RegisteredUpstream upstream, final Instant now) {
        final Load known = section.of(upstream.name());
        final Load load = known.startedAtMillis() == upstream.startedAtMillis() ? known : Load.NONE;
        final Instant oldest = now.minusSeconds(1);
        PVector<Instant> arrivals = load.arrivals();
        while (!arrivals.isEmpty() && !arrivals.getFirst().isAfter(oldest)) {
            arrivals = arrivals.minus(0);
        }
        return with(
                section,
                upstream.name(),
                new Load(
                        upstream.startedAtMillis(),
                        load.running() + 1,
                        arrivals.plus(now),
                        load.failureShare(),
                        load.failuresInRow(),
                        load.avoidUntil()));
    }

    private static UpstreamLoadSection released(
            final UpstreamLoadSection section,
            final UpstreamName name,
            final Optional<CallResult> result,
            final Instant now) {
        final Load load = section.of(name);
        final Load freed = new Load(
                load.startedAtMillis(),
                Math.max(0, load.running() - 1),
                load.arrivals(),
                load.failureShare(),
                load.failuresInRow(),
                load.avoidUntil());
        return with(
                section, name, result.map(ended -> judged(freed, ended, now)).orElse(freed));
    }

    private static Load judged(final Load load, final CallResult result, final Instant now) {
        return switch (result) {
            case CallResult.Served() -> served(load);
            case CallResult.FailedByUpstream(int status) -> status < SERVER_ERROR ? served(load) : erred(load);
            case CallResult.NotRun(boolean reached) ->
                reached ? resting(load, now.plus(FULL_REST)) : failed(load, true, now);
            case CallResult.Broken(boolean silent, boolean begun) -> failed(load, silent, now);
        };
    }

    private static Load served(final Load load) {
        return new Load(
                load.startedAtMillis(),
                load.running(),
                load.arrivals(),
                load.failureShare() * (1 - LATEST_WEIGHT),
                0,
                Instant.EPOCH);
    }

    /** Some calls fail at any upstream of a service, so an error of its own only makes it less likely to be chosen. */
    private static Load erred(final Load load) {
        return new Load(
                load.startedAtMillis(),
                load.running(),
                load.arrivals(),
                load.failureShare() * (1 - LATEST_WEIGHT) + LATEST_WEIGHT,
                load.failuresInRow(),
                load.avoidUntil());
    }

    private static Load failed(final Load load, final boolean silent, final Instant now) {
        final int failures = load.failuresInRow() + 1;
        final int doublings = Math.min(HIGHEST_DOUBLING, failures - 1);
        final Duration rest = SILENT_REST.multipliedBy(1L << doublings);
        final boolean rests = silent || failures >= FAILURES_TO_REST;
        final Instant until = now.plus(rest.compareTo(LONGEST_REST) < 0 ? rest : LONGEST_REST);
        return new Load(
                load.startedAtMillis(),
                load.running(),
                load.arrivals(),
                load.failureShare() * (1 - LATEST_WEIGHT) + LATEST_WEIGHT,
                failures,
                rests && until.isAfter(load.avoidUntil()) ? until : load.avoidUntil());
    }

    private static Load resting(final Load load, final Instant until) {
        return new Load(
                load.startedAtMillis(),
                load.running(),
                load.arrivals(),
                load.failureShare(),
                load.failuresInRow(),
                until.isAfter(load.avoidUntil()) ? until : load.avoidUntil());
    }

    private static UpstreamLoadSection with(
            final UpstreamLoadSection section, final UpstreamName name, final Load load) {
        return new UpstreamLoadSection(section.loads().plus(name, load));
    }
}
