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

/** Notes what upstreams received for each team and checks every window; shares no code with the buckets. */
final class BudgetLedger {
    private static final double NANOSECONDS = 1e9;
    private static final double ROUNDING = 1e-6;

    private final Map<TeamName, List<RequestIdentifier>> order = new HashMap<>();
    private final Map<RequestIdentifier, Received> received = new HashMap<>();

    /** Notes a request when an upstream first sees it. */
    void receive(final TeamName team, final RequestIdentifier request, final Instant at, final long tokens) {
        if (received.putIfAbsent(request, new Received(at, tokens)) == null) {
            order.computeIfAbsent(team, key -> new ArrayList<>()).add(request);
        }
    }

    /** Corrects a request to what it really used. */
    void correct(final RequestIdentifier request, final long tokens) {
        received.computeIfPresent(request, (key, entry) -> new Received(entry.at(), tokens));
    }

    /** Finds the most tokens by which any window exceeds rate and burst; zero or less if none does. */
    double excess(final Team team) {
        double largest = Double.NEGATIVE_INFINITY;
        double lowestStart = Double.POSITIVE_INFINITY;
        double sum = 0;
        for (final RequestIdentifier request : order.getOrDefault(team.name(), List.of())) {
            final Received entry = received.get(request);
            final double accrued = seconds(entry.at()) * team.tokensPerSecond();
            lowestStart = Math.min(lowestStart, sum - accrued);
            sum += entry.tokens();
            largest = Math.max(largest, sum - accrued - lowestStart - team.burstTokens());
        }
        return largest - ROUNDING;
    }

    /** Tells whether more tokens would have stayed within rate and burst. */
    boolean wouldAllow(final Team team, final Instant at, final long tokens) {
        double needed = tokens;
        double worst = needed - team.burstTokens();
        final List<RequestIdentifier> requests = order.getOrDefault(team.name(), List.of());
        for (int index = requests.size() - 1; index >= 0; index--) {
            final Received entry = received.get(requests.get(index));
            needed += entry.tokens();
            final double accrued = (seconds(at) - seconds(entry.at())) * team.tokensPerSecond();
            worst = Math.max(worst, needed - accrued - team.burstTokens());
        }
        return worst <= 0;
    }

    private static double seconds(final Instant at) {
        return Duration.between(VirtualTime.START, at).toNanos() / NANOSECONDS;
    }

    private record Received(Instant at, long tokens) {}
}
