package org.lacewingstep.domain;

import java.util.Set;

import org.lacewingstep.error.Validate;

/**
 * What a team may ask for, over all instances together.
 *
 * @param team the team, not null
 * @param unitsPerSecond rate in units a second, zero for no limit
 * @param burst units beyond the rate, zero or more
 * @param countsTokens whether a request counts by its tokens instead of as one unit
 * @param plainUnits units of a request that names no tokens
 * @param homes the regions in which its requests may run, empty for all
 */
public record TeamAllowance(
        TeamName team,
        double unitsPerSecond,
        double burst,
        boolean countsTokens,
        long plainUnits,
        Set<RegionName> homes) {
    /** Checks the parts. */
    public TeamAllowance {
        Validate.notNull(team, "team");
        Validate.isTrue(unitsPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(burst >= 0, "burst", "zero or more");
        Validate.notNegative(plainUnits, "plain units");
        homes = Set.copyOf(homes);
    }

    /**
     * Tells whether the team's requests are counted.
     *
     * @return true if there is a limit
     */
    public boolean isLimited() {
        return unitsPerSecond > 0 || burst > 0;
    }
}
