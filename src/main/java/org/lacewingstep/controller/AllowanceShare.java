package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.AllowanceSection.PeerDemand;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RetryCredit;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;

/** Computes this instance's share of what all instances together may spend. */
final class AllowanceShare {
    /** Part of each bound that is handed out; the rest covers instances that join before all others know of them. */
    private static final double HANDED_OUT = 0.9;

    /** Part of a team's bound that is handed out; the rest covers instances whose view of the demand differs. */
    private static final double DEMAND_HANDED_OUT = 0.85;

    /** What another instance told of its demand counts for so long, while it restarts or is cut off. */
    private static final Duration DEMAND_LIFE = Duration.ofSeconds(6);

    /** What was told longer ago may differ from what the others know: two messages were lost. */
    private static final Duration FRESH_DEMAND = Duration.ofMillis(2500);

    /** Largest part by demand, in equal parts, while an instance is silent. */
    private static final double LARGEST_STALE_PART = 2;

    /** Part of a team's bound that is divided equally, for demand that moves. */
    private static final double EQUAL_PART = 0.4;

    /** Units below which a team counts as having asked for nothing. */
    private static final double LEAST_DEMAND = 1;

    /** Part of the slack of a team's bound by which calls that name no tokens may overdraw its buckets. */
    private static final double PLAIN_OVERDRAFT_PART = 0.5;

    /** Seconds of a rate that a restarted instance begins with, as the one before it may just have spent its share. */
    private static final double RESTART_SECONDS = 2;

    private AllowanceShare() {}

    /**
     * Computes the bucket of a team as it stands now.
     *
     * @param board the blackboard, not null
     * @param team the team, not null
     * @param now the present time, not null
     * @return the bucket, empty if the team has no limit
     */
    static Optional<AllowanceBucket> bucket(final Blackboard board, final TeamName team, final Instant now) {
        final TeamAllowance allowance =
                board.serving().routing().table().teams().get(team);
        if (allowance == null || !allowance.isLimited()) {
            return Optional.empty();
        }
        final SitePolicy policy = board.serving().site().bounds();
        final double share = teamShare(board, team, now);
        final double rate = allowance.unitsPerSecond() * (1 + policy.rateExcess()) * share;
        final double capacity = (allowance.burst() * (1 + policy.rateExcess()) + policy.rateSlack()) * share;
        final AllowanceBucket known = board.serving().allowances().teams().get(team);
        if (known == null) {
            final double first = board.serving().site().firstStart() ? capacity : rate * RESTART_SECONDS;
            return Optional.of(new AllowanceBucket(rate, capacity, Math.min(first, capacity), now));
        }
        return Optional.of(known.under(rate, capacity, now));
    }

    /**
     * Computes by how much calls that name no tokens may overdraw a team's bucket, so that they need not wait until the
     * debt of a large request is paid. All instances together stay within what is not handed out.
     *
     * @param board the blackboard, not null
     * @return the units
     */
    static double plainOverdraft(final Blackboard board) {
        return board.serving().site().bounds().rateSlack()
                * PLAIN_OVERDRAFT_PART
                / board.serving().site().instances();
    }

    /**
     * Computes the credit for repeated requests as it stands now.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the credit, never null
     */
    static RetryCredit repeats(final Blackboard board, final Instant now) {
        final SitePolicy policy = board.serving().site().bounds();
        return board.serving()
                .allowances()
                .repeats()
                .under(policy.retrySlack() * share(board), policy.retryWindow(), now);
    }

    /**
     * Computes what a first request earns towards repeats.
     *
     * @param board the blackboard, not null
     * @return the part of a repeat
     */
    static double earned(final Blackboard board) {
        return board.serving().site().bounds().retryRatio() * HANDED_OUT;
    }

    /**
     * Computes how many requests this instance may send to one upstream in a second while that may be cold.
     *
     * @param board the blackboard, not null
     * @param requestsPerSecond what a cold upstream bears
     * @return the number, at least one
     */
    static long coldRequests(final Blackboard board, final double requestsPerSecond) {
        final SitePolicy policy = board.serving().site().bounds();
        final double all = requestsPerSecond * policy.coldExcess() + policy.coldSlack();
        return Math.max(1, (long) (all * share(board)));
    }

    /**
     * Computes what each team asked of this instance lately.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the units by team, never null
     */
    static Map<TeamName, Double> ownDemands(final Blackboard board, final Instant now) {
        final Map<TeamName, Double> units = new HashMap<>();
        board.serving().allowances().asked().forEach((team, sum) -> {
            if (sum.at(now) >= LEAST_DEMAND) {
                units.put(team, sum.at(now));
            }
        });
        return units;
    }

    /**
     * Divides a team's limit by the demand that all instances told last; equally while it is not known.
     *
     * <p>Each instance counts itself with what it told the others, so that all compute the same shares.
     */
    private static double teamShare(final Blackboard board, final TeamName team, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        final double equal = 1.0 / board.serving().site().instances();
        final double own = section.told().getOrDefault(team, 0.0);
        double all = own;
        boolean fresh = true;
        for (final Member other : board.serving().site().others()) {
            final PeerDemand demand = section.peers().get(other.name());
            if (demand == null || demand.at().plus(DEMAND_LIFE).isBefore(now)) {
                return DEMAND_HANDED_OUT * equal;
            }
            fresh = fresh && demand.at().plus(FRESH_DEMAND).isAfter(now);
            all += demand.units().getOrDefault(team, 0.0);
        }
        final double byDemand = all < LEAST_DEMAND ? equal : own / all;
        final double part = fresh ? byDemand : Math.min(byDemand, LARGEST_STALE_PART * equal);
        return DEMAND_HANDED_OUT * (EQUAL_PART * equal + (1 - EQUAL_PART) * part);
    }

    private static double share(final Blackboard board) {
        return HANDED_OUT / board.serving().site().instances();
    }
}
