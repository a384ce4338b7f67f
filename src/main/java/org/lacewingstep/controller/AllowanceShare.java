package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.RetryCredit;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenBucket;

/** Computes this instance's share of what all instances together may spend. */
final class AllowanceShare {
    /** Part of each bound that is handed out; the rest covers instances that join before all others know of them. */
    private static final double HANDED_OUT = 0.9;

    private AllowanceShare() {}

    /**
     * Computes the bucket of a team as it stands now.
     *
     * @param board the blackboard, not null
     * @param team the team, not null
     * @param now the present time, not null
     * @return the bucket, empty if the team has no limit
     */
    static Optional<TokenBucket> bucket(final Blackboard board, final TeamName team, final Instant now) {
        final TeamAllowance allowance =
                board.serving().routing().table().teams().get(team);
        if (allowance == null || !allowance.isLimited()) {
            return Optional.empty();
        }
        final SitePolicy policy = board.serving().site().bounds();
        final double share = share(board);
        final double rate = allowance.unitsPerSecond() * (1 + policy.rateExcess()) * share;
        final double capacity = (allowance.burst() * (1 + policy.rateExcess()) + policy.rateSlack()) * share;
        final TokenBucket known = board.serving().allowances().teams().get(team);
        if (known == null) {
            final double first = board.serving().site().firstStart() ? capacity : 0;
            return Optional.of(TokenBucket.of(rate, capacity, first, now));
        }
        return Optional.of(known.refill(now).resize(rate, capacity));
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

    private static double share(final Blackboard board) {
        return HANDED_OUT / board.serving().site().instances();
    }
}
