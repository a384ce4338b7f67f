package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.placement.UpstreamDraw;
import org.pcollections.PVector;

/** Chooses the eligible upstream of least cost for a call. */
final class UpstreamChoice {
    /** Most instances for which all upstreams are compared; up to this number, load reports arrive within 0.1 s. */
    private static final int MAX_INSTANCES_FOR_FULL_CHOICE = 16;

    /** Upstreams compared at larger sites; comparing two random ones spreads load nearly as well as comparing all. */
    static final int RANDOM_CANDIDATES = 2;

    /** Upstreams examined at larger sites; a queued call examines others each time it searches. */
    private static final int MAX_EXAMINED = 32;

    private UpstreamChoice() {}

    /**
     * Chooses an upstream for a call.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param roles the upstream roles to choose from, not null
     * @param preferredDomain the failure domain to prefer, not null
     * @param now the present time, not null
     * @return the upstream, empty if none of those examined is eligible now
     */
    static Optional<RegisteredUpstream> choose(
            final Blackboard board,
            final Call call,
            final Set<UpstreamRole> roles,
            final FailureDomainName preferredDomain,
            final Instant now) {
        final UpstreamDraw draw = draw(board, call, roles, now);
        final int limit = candidateLimit(board);
        final boolean spread = ColdStartLimit.isSpread(board, call.service(), draw, now);
        RegisteredUpstream chosen = null;
        double leastCost = Double.POSITIVE_INFINITY;
        int candidates = 0;
        for (int i = 0; i < draw.size() && candidates < limit; i++) {
            final Entry entry = board.serving().registry().upstreams().get(draw.get(i));
            if (isEligible(board, call, entry, spread, now)) {
                candidates++;
                final double cost = UpstreamCost.of(board, call, entry, preferredDomain, now);
                if (chosen == null || cost < leastCost) {
                    chosen = entry.upstream();
                    leastCost = cost;
                }
            }
        }
        return Optional.ofNullable(chosen);
    }

    /** Limits candidates at large sites, where load reports arrive late and all instances would choose one upstream. */
    private static int candidateLimit(final Blackboard board) {
        return isLargeSite(board) ? RANDOM_CANDIDATES : Integer.MAX_VALUE;
    }

    /**
     * Returns whether load reports arrive so late that calls choose among random candidates.
     *
     * @param board the blackboard, not null
     * @return true if the site has many instances
     */
    static boolean isLargeSite(final Blackboard board) {
        return board.serving().site().instances() > MAX_INSTANCES_FOR_FULL_CHOICE;
    }

    private static UpstreamDraw draw(
            final Blackboard board, final Call call, final Set<UpstreamRole> roles, final Instant now) {
        final List<PVector<UpstreamName>> pools = new ArrayList<>();
        for (final UpstreamRole role : UpstreamRole.values()) {
            if (roles.contains(role)) {
                pools.add(board.serving().registry().pool(call.service(), role));
            }
        }
        return isLargeSite(board)
                ? UpstreamDraw.of(pools, call.parameters().request(), now, MAX_EXAMINED)
                : UpstreamDraw.all(pools);
    }

    /**
     * Finds a registered upstream by name.
     *
     * @param board the blackboard, not null
     * @param name the name of the upstream, not null
     * @return the upstream, empty if it is no longer registered
     */
    static Optional<RegisteredUpstream> findRegistered(final Blackboard board, final UpstreamName name) {
        return Optional.ofNullable(board.serving().registry().upstreams().get(name))
                .map(Entry::upstream);
    }

    private static boolean isEligible(
            final Blackboard board, final Call call, final Entry entry, final boolean spread, final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        return isAvailable(board, call, entry, now)
                && !call.tried().contains(upstream.name())
                && UpstreamRoom.hasCapacity(board, call, upstream, now)
                && PlainRoom.hasPlace(board, call, upstream, now)
                && ColdStartLimit.permits(board, upstream, spread, now)
                && UpstreamAvailability.isWithinAnnouncedLimit(board, upstream, now);
    }

    /**
     * Counts the prefill engines that a call cannot use for the rate that they may bear alone.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param now the present time, not null
     * @return the number of engines among those that are examined for a call
     */
    static long countLimited(final Blackboard board, final Call call, final Instant now) {
        final UpstreamDraw draw = draw(board, call, Set.of(UpstreamRole.PREFILL), now);
        final boolean spread = ColdStartLimit.isSpread(board, call.service(), draw, now);
        return IntStream.range(0, draw.size())
                .mapToObj(i -> board.serving().registry().upstreams().get(draw.get(i)))
                .filter(entry -> isAvailable(board, call, entry, now)
                        && !ColdStartLimit.permits(board, entry.upstream(), spread, now))
                .count();
    }

    private static boolean isAvailable(final Blackboard board, final Call call, final Entry entry, final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        return UpstreamAvailability.acceptsRequests(board, entry, now)
                && !board.serving().roles().isChanging(upstream, now)
                && !board.serving().routing().takenOut().contains(upstream.failureDomain())
                && isInAllowedRegion(board, call, upstream)
                && RolloutRouting.permits(board, call, upstream, now)
                && !isEngineBackedOff(board, upstream, now);
    }

    private static boolean isInAllowedRegion(
            final Blackboard board, final Call call, final RegisteredUpstream upstream) {
        final RegionName region = board.serving().site().bounds().regions().get(upstream.failureDomain());
        return allows(call.route().allowedRegions(), region) && allows(call.teamRegions(), region);
    }

    private static boolean allows(final Set<RegionName> allowed, final RegionName region) {
        return allowed.isEmpty() || region != null && allowed.contains(region);
    }

    /** Excludes an engine in back-off, because a prompt processed for an engine that then refuses is lost. */
    private static boolean isEngineBackedOff(
            final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return upstream.role() != UpstreamRole.PLAIN
                && UpstreamCost.load(board, upstream).avoidUntil().isAfter(now);
    }

    /**
     * Draws a number for a call and an upstream, so that different calls prefer different upstreams of equal cost.
     *
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @return a number from 0 to 1 that depends on both names alone
     */
    static double tieBreak(final Call call, final UpstreamName upstream) {
        final long hash = UpstreamDraw.hash(
                call.parameters().request().value().hashCode(), upstream.value().hashCode());
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }
}
