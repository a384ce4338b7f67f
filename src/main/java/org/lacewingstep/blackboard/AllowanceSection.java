package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RetryBudget;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The rate-limit buckets of teams and the retry budgets of services, with the spending at this and the other instances.
 *
 * @param tableRevision the store's revision of the routing table that the buckets were created for
 * @param teams the bucket of each team with a limit, debited by the spending of all instances, not null
 * @param retryBudgets the retry budget of each service at this instance, not null
 * @param spent the spending of each team at this instance, not null
 * @param peers the last reported spending at each other instance, not null
 */
public record AllowanceSection(
        StoreRevision tableRevision,
        PMap<TeamName, AllowanceBucket> teams,
        PMap<ServiceName, RetryBudget> retryBudgets,
        PMap<TeamName, Spending> spent,
        PMap<InstanceName, PeerSpending> peers)
        implements ServingSection {
    /** The initial section of a process. */
    public static final AllowanceSection INITIAL = new AllowanceSection(
            StoreRevision.NONE, HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * The spending of a team at this instance.
     *
     * @param units units spent since the process started, less those that were returned
     * @param reported units spent according to the reports, which never decrease; units that were returned are in it
     *     until they are spent again
     * @param lastAt when the team last spent units, not null
     */
    public record Spending(double units, double reported, Instant lastAt) {
        /** No spending. */
        public static final Spending NONE = new Spending(0, 0, Instant.EPOCH);

        /**
         * Adds the units of a call.
         *
         * @param added the units, not negative
         * @param now the present time, not null
         * @return the sum, never null
         */
        public Spending plus(final double added, final Instant now) {
            return new Spending(units + added, Math.max(reported, units + added), now);
        }

        /**
         * Subtracts the units of a call that no upstream has run.
         *
         * @param returned the units, not negative
         * @return the difference, never null
         */
        public Spending minus(final double returned) {
            return new Spending(units - returned, reported, lastAt);
        }
    }

    /**
     * The spending of teams at another instance.
     *
     * @param process the start number of the reporting process; a restart begins new sums
     * @param at when the last report arrived, not null
     * @param units units spent by each team since that start, not null
     */
    public record PeerSpending(long process, Instant at, Map<TeamName, Double> units) {
        /**
         * Merges newly reported sums; a late message with older sums does not decrease any sum.
         *
         * @param now the present time, not null
         * @param newer the reported sums of teams with recent spending, not null
         * @return the copy, never null
         */
        public PeerSpending with(final Instant now, final Map<TeamName, Double> newer) {
            final Map<TeamName, Double> merged = new HashMap<>(units);
            newer.forEach((team, sum) -> merged.merge(team, sum, Math::max));
            return new PeerSpending(process, now, merged);
        }
    }

    /**
     * Copies the section with other buckets.
     *
     * @param nextRevision the store's revision of the routing table
     * @param nextTeams the buckets, not null
     * @return the copy, never null
     */
    public AllowanceSection withTeams(
            final StoreRevision nextRevision, final PMap<TeamName, AllowanceBucket> nextTeams) {
        return new AllowanceSection(nextRevision, nextTeams, retryBudgets, spent, peers);
    }

    /**
     * Copies the section with another retry budget.
     *
     * @param service the service of the budget, not null
     * @param nextBudget the retry budget, not null
     * @return the copy, never null
     */
    public AllowanceSection withRetryBudget(final ServiceName service, final RetryBudget nextBudget) {
        return new AllowanceSection(tableRevision, teams, retryBudgets.plus(service, nextBudget), spent, peers);
    }

    /**
     * Copies the section with other spending at this instance.
     *
     * @param nextSpent the spending of each team, not null
     * @return the copy, never null
     */
    public AllowanceSection withSpent(final PMap<TeamName, Spending> nextSpent) {
        return new AllowanceSection(tableRevision, teams, retryBudgets, nextSpent, peers);
    }

    /**
     * Copies the section with other spending at the other instances.
     *
     * @param nextPeers the spending at each other instance, not null
     * @return the copy, never null
     */
    public AllowanceSection withPeers(final PMap<InstanceName, PeerSpending> nextPeers) {
        return new AllowanceSection(tableRevision, teams, retryBudgets, spent, nextPeers);
    }
}
