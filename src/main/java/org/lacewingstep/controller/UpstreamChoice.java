package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.UpstreamLoadSection.Load;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;

/** Chooses the eligible upstream of least cost for a call, by load, failures and failure domain. */
final class UpstreamChoice {
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

    /** Factor of an engine's memory that predicted final sizes may add up to; few requests are at that size at once. */
    private static final double MEMORY_OVERCOMMIT = 1.2;

    /** Memory factor for a call that can no longer be on time; lower, so that calls which can be find a place. */
    private static final double LATE_MEMORY_OVERCOMMIT = 0.8;

    /**
     * Divisor of an engine's memory that yields the memory of a typical call. A larger call requires no more free
     * memory than a typical one, since small calls would otherwise always be placed before the large call.
     */
    private static final int TYPICAL_CALL_DIVISOR = 8;

    /** Most instances for which all upstreams are compared; up to this number, load reports arrive within 0.1 s. */
    private static final int MAX_INSTANCES_FOR_FULL_CHOICE = 16;

    /** Upstreams compared at larger sites; comparing two random ones spreads load nearly as well as comparing all. */
    private static final int RANDOM_CANDIDATES = 2;

    /**
     * Fraction of the rate that a cold upstream bears up to which a warm one receives requests without a share or turn:
     * should it turn cold unnoticed, the requests of the following second still stay below that rate.
     */
    private static final double SPARE_COLD_FRACTION = 0.3;

    /** Upstreams of a role from which the requests of a site spread so widely that none receives many at once. */
    private static final int MIN_ALTERNATIVES = 8;

    private UpstreamChoice() {}

    /**
     * Chooses an upstream for a call.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param roles the upstream roles to choose from, not null
     * @param preferredDomain the failure domain to prefer, not null
     * @param now the present time, not null
     * @return the upstream, empty if none is eligible now
     */
    static Optional<RegisteredUpstream> choose(
            final Blackboard board,
            final Call call,
            final Set<UpstreamRole> roles,
            final FailureDomainName preferredDomain,
            final Instant now) {
        final List<Candidate> candidates = new ArrayList<>();
        final List<Entry> entries = shuffledEntries(board, call, roles);
        for (final Entry entry : entries) {
            if (isEligible(board, call, entry, entries.size(), now)) {
                candidates.add(new Candidate(entry.upstream(), cost(board, call, entry, preferredDomain, now)));
            }
            if (candidates.size() == candidateLimit(board)) {
                break;
            }
        }
        return candidates.stream()
                .min(Comparator.comparingDouble(Candidate::cost))
                .map(Candidate::upstream);
    }

    /** Limits candidates at large sites, where load reports arrive late and all instances would choose one upstream. */
    private static int candidateLimit(final Blackboard board) {
        return board.serving().site().instances() > MAX_INSTANCES_FOR_FULL_CHOICE
                ? RANDOM_CANDIDATES
                : Integer.MAX_VALUE;
    }

    private static List<Entry> shuffledEntries(final Blackboard board, final Call call, final Set<UpstreamRole> roles) {
        return board.serving().registry().upstreams().values().stream()
                .filter(entry -> roles.contains(entry.upstream().role())
                        && entry.upstream().service().equals(call.service()))
                .sorted(Comparator.comparingDouble(
                        entry -> tieBreak(call, entry.upstream().name())))
                .toList();
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
            final Blackboard board, final Call call, final Entry entry, final int alternatives, final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        return isAvailable(board, call, entry, now)
                && !call.tried().contains(upstream.name())
                && hasCapacity(board, call, upstream, now)
                && isWithinColdStartLimit(board, upstream, alternatives, now);
    }

    private static boolean isAvailable(final Blackboard board, final Call call, final Entry entry, final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        return !upstream.draining()
                && UpstreamAvailability.acceptsRequests(board, upstream, now)
                && RegistryController.isRetained(entry, now)
                && !board.serving().roles().isChanging(upstream, now)
                && !board.serving().routing().takenOut().contains(upstream.failureDomain())
                && isInAllowedRegion(board, call, upstream)
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

    /** Checks the predicted final size, because memory is reserved before the prompt is processed elsewhere. */
    private static boolean hasCapacity(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(upstream.service());
        if (upstream.role() != UpstreamRole.DECODE || service == null || service.memoryTokens() == 0) {
            return true;
        }
        final UpstreamUse use = board.serving().use(upstream.name(), now);
        final double overcommit =
                CallPlacement.canMeetLatencyTarget(call, now) ? MEMORY_OVERCOMMIT : LATE_MEMORY_OVERCOMMIT;
        final long requiredTokens = Math.min(call.tokens(), service.memoryTokens() / TYPICAL_CALL_DIVISOR);
        return use.requests() == 0 || use.tokens() + requiredTokens <= service.memoryTokens() * overcommit;
    }

    /** Excludes an engine in back-off, because a prompt processed for an engine that then refuses is lost. */
    private static boolean isEngineBackedOff(
            final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return upstream.role() != UpstreamRole.PLAIN
                && load(board, upstream).avoidUntil().isAfter(now);
    }

    /** Limits every upstream as if cold, because an upstream may turn cold before its registry entry is updated. */
    private static boolean isWithinColdStartLimit(
            final Blackboard board, final RegisteredUpstream upstream, final int alternatives, final Instant now) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(upstream.service());
        if (service == null || service.coldRequestsPerSecond() <= 0) {
            return true;
        }
        final long ownArrivals = load(board, upstream).recentArrivals(now);
        return ownArrivals
                        < AllowanceShare.coldRequestLimit(board, upstream.name(), service.coldRequestsPerSecond(), now)
                || upstream.coldFor().isZero()
                        && alternatives >= MIN_ALTERNATIVES
                        && ownArrivals
                                        + board.serving()
                                                .use(upstream.name(), now)
                                                .arrivals()
                                < SPARE_COLD_FRACTION
                                        * AllowanceShare.coldSiteLimit(board, service.coldRequestsPerSecond());
    }

    private static double cost(
            final Blackboard board,
            final Call call,
            final Entry entry,
            final FailureDomainName preferredDomain,
            final Instant now) {
        final RegisteredUpstream upstream = entry.upstream();
        final Load load = load(board, upstream);
        return board.serving().use(upstream.name(), now).requests()
                + FAILURE_PENALTY * load.failureShare()
                + (upstream.failureDomain().equals(preferredDomain) ? 0 : REMOTE_DOMAIN_PENALTY)
                + (load.avoidUntil().isAfter(now) ? BACKOFF_PENALTY : 0)
                + (entry.missingSince().isPresent() ? MISSING_PENALTY : 0)
                + TIE_BREAK_WEIGHT * tieBreak(call, upstream.name());
    }

    private static Load load(final Blackboard board, final RegisteredUpstream upstream) {
        final Load load = board.serving().loads().of(upstream.name());
        return load.startedAtMillis() == upstream.startedAtMillis() ? load : Load.NONE;
    }

    private static double tieBreak(final Call call, final UpstreamName upstream) {
        final int hash = Hashing.murmur3_32()
                .newHasher()
                .putUnencodedChars(call.parameters().request().value())
                .putUnencodedChars(upstream.value())
                .hash()
                .asInt();
        return (hash & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE;
    }

    private record Candidate(RegisteredUpstream upstream, double cost) {}
}
