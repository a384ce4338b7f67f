package org.lacewingstep.controller;

import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.UpstreamLoadSection.Load;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamUse;

/** Computes what a call would cost at an upstream, by load, failures and failure domain. */
final class UpstreamCost {
    /** Cost of an upstream outside the preferred failure domain, in running requests. */
    private static final double REMOTE_DOMAIN_PENALTY = 0.5;

    /** Cost of a failure share of 1, in running requests. */
    private static final double FAILURE_PENALTY = 8;

    /** Cost of an upstream whose registry entry is missing, in running requests. */
    private static final double MISSING_PENALTY = 1000;

    /** Cost of an upstream in back-off after failures, in running requests. */
    private static final double BACKOFF_PENALTY = 100;

    /** Weight of the tie-break between upstreams of equal load, in running requests; below any difference in load. */
    private static final double TIE_BREAK_WEIGHT = 0.25;

    /** Smallest chance that is told from zero. */
    private static final double MIN_CHANCE = 1e-9;

    private UpstreamCost() {}

    /**
     * Computes the cost of a call at an upstream.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param entry the registry entry of the upstream, not null
     * @param preferredDomain the failure domain to prefer, not null
     * @param now the present time, not null
     * @return the cost in running requests
     */
    static double of(
            final Blackboard board,
            final Call call,
            final Entry entry,
            final FailureDomainName preferredDomain,
            final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        final Load load = load(board, upstream);
        return UpstreamSpeeds.slowness(board, upstream, now)
                        * (1
                                + requests(board, call, upstream, now)
                                - KeptPromptEstimate.savedFraction(board, call, upstream, now))
                + FAILURE_PENALTY * load.failureShare()
                + (upstream.failureDomain().equals(preferredDomain) ? 0 : REMOTE_DOMAIN_PENALTY)
                + (load.avoidUntil().isAfter(now) ? BACKOFF_PENALTY : 0)
                + (entry.missingSince().isPresent() ? MISSING_PENALTY : 0)
                + TIE_BREAK_WEIGHT * UpstreamChoice.tieBreak(call, upstream.name());
    }

    /**
     * Forecasts the requests that run at an upstream. Where reports arrive later than the reported requests end, all
     * instances would choose the upstream that was free when they were sent. There the requests of the other instances
     * follow from the rate at which they arrive. Plain calls, which have few upstreams, are spread by own sends and
     * chance.
     */
    private static double requests(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final UpstreamUse use = board.serving().use(upstream.name(), now);
        if (!board.serving().site().isRelayed()) {
            return use.requests();
        }
        final Load load = load(board, upstream);
        final int own = load.running().requests();
        return switch (upstream.role()) {
            case DECODE -> use.requests();
            case PLAIN ->
                own
                        + load.recentArrivals(now)
                        - 1
                        - Math.log(Math.max(MIN_CHANCE, 1 - UpstreamChoice.tieBreak(call, upstream.name())));
            case PREFILL ->
                own
                        + (use.arrivals() + load.recentArrivals(now))
                                * UpstreamSpeeds.secondsPerUnit(board, upstream, now)
                                * call.tokens();
        };
    }

    /**
     * Returns the load of this instance at the present start of an upstream.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @return the load, {@link Load#NONE} if the upstream has started anew, never null
     */
    static Load load(final Blackboard board, final RegisteredUpstream upstream) {
        final Load load = board.serving().loads().of(upstream.name());
        return load.startedAtMillis() == upstream.startedAtMillis() ? load : Load.NONE;
    }
}
