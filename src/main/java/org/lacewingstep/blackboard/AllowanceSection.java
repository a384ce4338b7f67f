package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Map;

import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.DecayingSum;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RetryCredit;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This instance's share of what all instances together may spend.
 *
 * @param tableRevision the revision of the routing table that the buckets were made for
 * @param teams the bucket of each team with a limit, not null
 * @param repeats the credit for repeated requests, not null
 * @param asked the units that each team asked of this instance lately, not null
 * @param told the units that the other instances were told last, not null
 * @param peers the units that teams asked of other instances, as those told, not null
 */
public record AllowanceSection(
        long tableRevision,
        PMap<TeamName, AllowanceBucket> teams,
        RetryCredit repeats,
        PMap<TeamName, DecayingSum> asked,
        Map<TeamName, Double> told,
        PMap<InstanceName, PeerDemand> peers)
        implements ServingSection {
    /** The section of a process that starts. */
    public static final AllowanceSection INITIAL = new AllowanceSection(
            0, HashTreePMap.empty(), RetryCredit.NONE, HashTreePMap.empty(), Map.of(), HashTreePMap.empty());

    /**
     * What teams asked of another instance.
     *
     * @param at when it told, not null
     * @param units the units that each team asked of it lately, not null
     */
    public record PeerDemand(Instant at, Map<TeamName, Double> units) {}

    /**
     * Copies the section with other buckets.
     *
     * @param nextRevision the revision of the routing table
     * @param nextTeams the buckets, not null
     * @return the copy, never null
     */
    public AllowanceSection withTeams(final long nextRevision, final PMap<TeamName, AllowanceBucket> nextTeams) {
        return new AllowanceSection(nextRevision, nextTeams, repeats, asked, told, peers);
    }

    /**
     * Copies the section with another credit for repeats.
     *
     * @param nextRepeats the credit, not null
     * @return the copy, never null
     */
    public AllowanceSection withRepeats(final RetryCredit nextRepeats) {
        return new AllowanceSection(tableRevision, teams, nextRepeats, asked, told, peers);
    }

    /**
     * Copies the section with other demands.
     *
     * @param nextAsked what teams asked of this instance, not null
     * @param nextTold what the other instances were told, not null
     * @param nextPeers what other instances told, not null
     * @return the copy, never null
     */
    public AllowanceSection withDemands(
            final PMap<TeamName, DecayingSum> nextAsked,
            final Map<TeamName, Double> nextTold,
            final PMap<InstanceName, PeerDemand> nextPeers) {
        return new AllowanceSection(tableRevision, teams, repeats, nextAsked, nextTold, nextPeers);
    }
}
