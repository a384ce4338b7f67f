package org.lacewingstep.blackboard;

import org.lacewingstep.domain.RetryCredit;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenBucket;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This instance's share of what all instances together may spend.
 *
 * @param teams the bucket of each team with a limit, not null
 * @param repeats the credit for repeated requests, not null
 */
public record AllowanceSection(PMap<TeamName, TokenBucket> teams, RetryCredit repeats) implements ServingSection {
    /** The section of a process that starts. */
    public static final AllowanceSection INITIAL = new AllowanceSection(HashTreePMap.empty(), RetryCredit.NONE);
}
