package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;

/**
 * Records the tokens that upstreams received for each team and checks the team's limit over every time window.
 * Independent of the token buckets under test: shares no code with them.
 */
final class ReceivedTokensLedger {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double ROUNDING_TOLERANCE_TOKENS = 1e-6;

    private final Map<TeamName, List<RequestIdentifier>> requestsByTeam = new HashMap<>();
    private final Map<RequestIdentifier, Receipt> received = new HashMap<>();

    /** Records a request at its first arrival at an upstream; later arrivals of the same request do not count. */
    void recordReceipt(final TeamName team, final RequestIdentifier request, final Instant at, final long tokens) {
        if (received.putIfAbsent(request, new Receipt(at, tokens)) == null) {
            requestsByTeam.computeIfAbsent(team, key -> new ArrayList<>()).add(request);
        }
    }

    /** Replaces the reserved tokens of a request by the tokens that the request used. */
    void recordActualUse(final RequestIdentifier request, final long tokens) {
        received.computeIfPresent(request, (key, receipt) -> new Receipt(receipt.receivedAt(), tokens));
    }

    /** Returns the largest excess of tokens over rate and burst in any window; zero or less if there is no excess. */
    double largestExcess(final Team team) {
        double largest = Double.NEGATIVE_INFINITY;
        double lowestWindowStart = Double.POSITIVE_INFINITY;
        double cumulativeTokens = 0;
        for (final RequestIdentifier request : requestsByTeam.getOrDefault(team.name(), List.of())) {
            final Receipt receipt = received.get(request);
            final double accrued = secondsSinceStart(receipt.receivedAt()) * team.tokensPerSecond();
            lowestWindowStart = Math.min(lowestWindowStart, cumulativeTokens - accrued);
            cumulativeTokens += receipt.tokens();
            largest = Math.max(largest, cumulativeTokens - accrued - lowestWindowStart - team.burstTokens());
        }
        return largest - ROUNDING_TOLERANCE_TOKENS;
    }

    /** Returns whether a request of that many tokens at that instant would have stayed within rate and burst. */
    boolean wouldAllow(final Team team, final Instant at, final long tokens) {
        double windowTokens = tokens;
        double largestExcess = windowTokens - team.burstTokens();
        final List<RequestIdentifier> requests = requestsByTeam.getOrDefault(team.name(), List.of());
        for (int index = requests.size() - 1; index >= 0; index--) {
            final Receipt receipt = received.get(requests.get(index));
            windowTokens += receipt.tokens();
            final double accrued =
                    (secondsSinceStart(at) - secondsSinceStart(receipt.receivedAt())) * team.tokensPerSecond();
            largestExcess = Math.max(largestExcess, windowTokens - accrued - team.burstTokens());
        }
        return largestExcess <= 0;
    }

    private static double secondsSinceStart(final Instant at) {
        return Duration.between(VirtualTime.START, at).toNanos() / NANOSECONDS_PER_SECOND;
    }

    private record Receipt(Instant receivedAt, long tokens) {}
}
