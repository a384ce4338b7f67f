package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RetryBudget;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.PMap;

/**
 * Computes the team buckets, which hold what all instances together may still spend, and this instance's share of the
 * other limits.
 */
final class AllowanceShare {
    /** Fraction of a limit that is distributed; the remainder covers new instances not yet counted by all others. */
    private static final double DISTRIBUTED_FRACTION = 0.9;

    /** Fraction of a team's rate excess that is usable; the remainder covers units spent but not yet reported. */
    private static final double EXCESS_FRACTION = 0.5;

    /** Fraction of the rate slack that a team's bucket holds; the remainder covers units spent but not yet reported. */
    private static final double SLACK_FRACTION = 0.3;

    /**
     * Time after a team's last spending during which the team's total is reported; longer than any window in which
     * units are counted.
     */
    private static final Duration SPENDING_REPORT_PERIOD = Duration.ofSeconds(20);

    /** Fraction of the rate slack by which calls without token counts may overdraw a team's bucket. */
    private static final double PLAIN_OVERDRAFT_FRACTION = 0.2;

    /**
     * Initial bucket level after a restart, in seconds of the rate; low, because the previous process may have spent
     * units shortly before.
     */
    private static final double RESTART_SECONDS = 2;

    /**
     * Divisor of the probability that an instance may send a request to a cold upstream in a given second. A window of
     * one second overlaps two such seconds, and the number of instances that may send varies randomly.
     */
    private static final double SELECTION_DIVISOR = 2;

    /** Fraction of the rate slack that all instances together may have spent before they report without delay. */
    private static final double SOON_REPORTED_FRACTION = 0.5;

    private static final int MILLISECONDS_PER_SECOND = 1000;

    private AllowanceShare() {}

    /**
     * Computes the current bucket of a team.
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
        final double reachable = reachableFraction(board, now);
        final double rate = allowance.unitsPerSecond() * (1 + policy.rateExcess() * EXCESS_FRACTION) * reachable;
        final double capacity =
                (allowance.burst() * (1 + policy.rateExcess()) + policy.rateSlack() * SLACK_FRACTION) * reachable;
        final AllowanceBucket existing = board.serving().allowances().teams().get(team);
        if (existing == null) {
            final double initialLevel = board.serving().site().firstStart() ? capacity : rate * RESTART_SECONDS;
            return Optional.of(new AllowanceBucket(rate, capacity, Math.min(initialLevel, capacity), now));
        }
        return Optional.of(existing.withLimits(rate, capacity, now));
    }

    /**
     * Computes by how much calls without token counts may overdraw a team's bucket, so that these calls need not wait
     * until the debt of a large request is refilled.
     *
     * @param board the blackboard, not null
     * @return the overdraft in units
     */
    static double plainOverdraft(final Blackboard board) {
        return board.serving().site().bounds().rateSlack() * PLAIN_OVERDRAFT_FRACTION;
    }

    /**
     * Computes how many units other instances have probably spent that no report has named yet. No more than the part
     * of the slack that the bucket holds in addition to the team's burst, so that a team within its limit has the whole
     * of the limit.
     *
     * @param board the blackboard, not null
     * @param bucket the current bucket of the team, not null
     * @param now the present time, not null
     * @return the units, zero or more
     */
    static double unreportedUnits(final Blackboard board, final AllowanceBucket bucket, final Instant now) {
        final double delaySeconds = board.serving().site().reportDelay().toMillis() / (double) MILLISECONDS_PER_SECOND;
        final double limit =
                board.serving().site().bounds().rateSlack() * SLACK_FRACTION * reachableFraction(board, now);
        return Math.min(bucket.pace() * delaySeconds, limit);
    }

    /**
     * Returns whether other instances need to know soon that this one has spent units: the same at each instance would
     * use up half of the slack unseen.
     *
     * @param board the blackboard, not null
     * @param units the units of a call
     * @return true if the units should be reported without the delay of other changes
     */
    static boolean isReportedSoon(final Blackboard board, final long units) {
        final double slack = board.serving().site().bounds().rateSlack();
        return units * board.serving().site().instances() > slack * SOON_REPORTED_FRACTION;
    }

    /**
     * Returns whether a report names new spending of a team whose bucket empties soon.
     *
     * @param board the blackboard, not null
     * @param origin the instance that sent the report, not null
     * @param spent the reported sums by team, not null
     * @param now the present time, not null
     * @return true if the report should be passed on without the delay of others
     */
    static boolean isPassedOnSoon(
            final Blackboard board, final Incarnation origin, final Map<TeamName, Double> spent, final Instant now) {
        final AllowanceSection.PeerSpending known =
                board.serving().allowances().peers().get(origin.instance());
        return spent.entrySet().stream()
                .filter(sum -> known == null || sum.getValue() > known.units().getOrDefault(sum.getKey(), 0.0))
                .anyMatch(sum -> bucket(board, sum.getKey(), now)
                        .filter(AllowanceBucket::isUnderPressure)
                        .isPresent());
    }

    /**
     * Computes the current retry budget of a service at this instance. A restarted instance starts without credits.
     *
     * @param board the blackboard, not null
     * @param service the service, not null
     * @param now the present time, not null
     * @return the retry budget, never null
     */
    static RetryBudget retryBudget(final Blackboard board, final ServiceName service, final Instant now) {
        final SitePolicy policy = board.serving().site().bounds();
        final RetryBudget known = board.serving().allowances().retryBudgets().get(service);
        final RetryBudget budget = (known == null ? RetryBudget.NONE : known)
                .withAllowance(policy.retrySlack() * instanceShare(board), policy.retryWindow(), now);
        return known == null && !board.serving().site().firstStart() ? budget.withoutCredits() : budget;
    }

    /**
     * Computes how many retries the first send of a request adds to the retry budget.
     *
     * @param board the blackboard, not null
     * @return the number of retries, a fraction of 1
     */
    static double retriesPerFirstSend(final Blackboard board) {
        return board.serving().site().bounds().retryRatio() * DISTRIBUTED_FRACTION;
    }

    /**
     * Computes how many requests this instance may send in a second to one upstream that may be cold.
     *
     * <p>If the share of an instance is less than one request, a pseudo-random subset of the instances, different in
     * each second, may send one request each.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param requestsPerSecond the rate that a cold upstream sustains
     * @param now the present time, not null
     * @return the number of requests in the current second
     */
    static long coldRequestLimit(
            final Blackboard board, final UpstreamName upstream, final double requestsPerSecond, final Instant now) {
        final SitePolicy policy = board.serving().site().bounds();
        final double ownShare = coldSiteLimit(board, requestsPerSecond) * instanceShare(board);
        return ownShare >= 1
                ? (long) ownShare
                : isSelected(policy.instance(), upstream, ownShare / SELECTION_DIVISOR, now) ? 1 : 0;
    }

    /**
     * Computes how many requests all instances together may send in a second to one upstream that may be cold.
     *
     * @param board the blackboard, not null
     * @param requestsPerSecond the rate that a cold upstream sustains
     * @return the number of requests
     */
    static double coldSiteLimit(final Blackboard board, final double requestsPerSecond) {
        final SitePolicy policy = board.serving().site().bounds();
        return requestsPerSecond * policy.coldExcess() + policy.coldSlack();
    }

    private static boolean isSelected(
            final InstanceName instance, final UpstreamName upstream, final double probability, final Instant now) {
        final int hash = Hashing.murmur3_32()
                .newHasher()
                .putUnencodedChars(instance.value())
                .putUnencodedChars(upstream.value())
                .putLong(now.getEpochSecond())
                .hash()
                .asInt();
        return (hash & Integer.MAX_VALUE) < probability * Integer.MAX_VALUE;
    }

    /**
     * Collects the units that teams have spent at this instance, for teams that have spent units within
     * {@link #SPENDING_REPORT_PERIOD}.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the units by team since the process started, never null
     */
    static Map<TeamName, Double> recentSpending(final Blackboard board, final Instant now) {
        final Map<TeamName, Double> units = new HashMap<>();
        board.serving().allowances().spent().forEach((team, spending) -> {
            if (spending.lastAt().plus(SPENDING_REPORT_PERIOD).isAfter(now)) {
                units.put(team, spending.reported());
            }
        });
        return units;
    }

    /**
     * Computes the fraction of the instances, this one included, whose reports have arrived within the timeout.
     *
     * <p>Limits are scaled by this fraction, so that the sides of a network partition together keep within them. An
     * instance that reports and is not known by its address counts as not reached, since it learns nothing from here.
     */
    private static double reachableFraction(final Blackboard board, final Instant now) {
        final AllowanceSection section = board.serving().allowances();
        final Duration timeout = board.serving().site().peerTimeout();
        final PMap<InstanceName, Member> present = board.serving().site().present();
        int reached = 0;
        int unknown = 0;
        for (final Map.Entry<InstanceName, AllowanceSection.PeerSpending> peer :
                section.peers().entrySet()) {
            if (peer.getValue().at().plus(timeout).isAfter(now)) {
                reached += present.containsKey(peer.getKey()) ? 1 : 0;
                unknown += present.containsKey(peer.getKey()) ? 0 : 1;
            }
        }
        final int others =
                present.size() - (present.containsKey(board.identity().name()) ? 1 : 0);
        return (1.0 + reached) / (1 + others + unknown);
    }

    private static double instanceShare(final Blackboard board) {
        return DISTRIBUTED_FRACTION / board.serving().site().instances();
    }
}
