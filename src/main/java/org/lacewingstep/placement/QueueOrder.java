package org.lacewingstep.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Urgency;

/**
 * Orders the queued calls of a service. Answers bursts that exceed the capacity of the service: each place that becomes
 * free goes to a call that can still be on time, and to one that is late only if no other is queued, as every call
 * would be late otherwise. Among these it goes to the most urgent call, then to the team that has fewest calls at the
 * upstreams, then to the oldest call. A call gains one rank of urgency each time it has waited for its latency target,
 * so that late calls of each urgency are placed.
 */
public final class QueueOrder {
    private static final Comparator<RankedCall> ORDER = Comparator.comparing(
                    (RankedCall ranked) -> !ranked.call().canBeOnTime())
            .thenComparingLong(RankedCall::rank)
            .thenComparingInt(RankedCall::teamPosition)
            .thenComparing(ranked -> ranked.call().receivedAt())
            .thenComparing(ranked -> ranked.call().request().value());

    private static final Comparator<QueuedCall> AGE = Comparator.comparing(QueuedCall::receivedAt)
            .thenComparing(call -> call.request().value());

    private QueueOrder() {}

    /**
     * A call that waits for an upstream.
     *
     * @param request the identifier of the call, not null
     * @param receivedAt when the call arrived, not null
     * @param canBeOnTime whether a response can be on time if the call is sent now
     * @param urgency how urgent the call is, not null
     * @param latencyTarget time within which a response counts as on time, positive
     * @param team the caller's team, empty on an open route
     */
    public record QueuedCall(
            RequestIdentifier request,
            Instant receivedAt,
            boolean canBeOnTime,
            Urgency urgency,
            Duration latencyTarget,
            Optional<TeamName> team) {
        private long rankAt(final Instant now) {
            return urgency.rankAfter(Duration.between(receivedAt, now), latencyTarget);
        }
    }

    /**
     * Orders queued calls.
     *
     * @param calls the calls, not null
     * @param running the number of calls that each team has at the upstreams of the service, not null
     * @param now the present time, not null
     * @return the identifiers of the calls in the order in which they are placed, never null
     */
    public static List<RequestIdentifier> order(
            final Collection<QueuedCall> calls, final Map<Optional<TeamName>, Integer> running, final Instant now) {
        final Map<TeamGroup, Integer> positions = new HashMap<>();
        final List<RankedCall> ranked = new ArrayList<>();
        for (final QueuedCall call : calls.stream().sorted(AGE).toList()) {
            final long rank = call.rankAt(now);
            final int before =
                    positions.merge(new TeamGroup(call.team(), rank, call.canBeOnTime()), 1, Integer::sum) - 1;
            ranked.add(new RankedCall(call, rank, running.getOrDefault(call.team(), 0) + before));
        }
        return ranked.stream()
                .sorted(ORDER)
                .map(entry -> entry.call().request())
                .toList();
    }

    private record TeamGroup(Optional<TeamName> team, long rank, boolean canBeOnTime) {}

    private record RankedCall(QueuedCall call, long rank, int teamPosition) {}
}
