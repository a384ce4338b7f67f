package org.lacewingstep.domain;

import java.util.Set;

import org.lacewingstep.error.Validate;

/**
 * Request limits of a team, for all instances together.
 *
 * @param team the team, not null
 * @param unitsPerSecond the rate in units per second; there is no limit if the rate and the burst are both zero
 * @param burst the units that the team may spend beyond the rate, zero or more
 * @param countsTokens whether the units of a request are its tokens; otherwise a request counts as one unit
 * @param plainUnits units of a request that states no number of tokens, zero or more
 * @param allowedRegions the regions in which requests of the team may run, empty for all regions
 * @param priority how urgent the requests of the team are among those of all teams, 0 for the most urgent
 */
public record TeamAllowance(
        TeamName team,
        double unitsPerSecond,
        double burst,
        boolean countsTokens,
        long plainUnits,
        Set<RegionName> allowedRegions,
        int priority) {
    /** Validates the components. */
    public TeamAllowance {
        Validate.notNull(team, "team");
        Validate.isTrue(unitsPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(burst >= 0, "burst", "zero or more");
        Validate.notNegative(plainUnits, "plain units");
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates the limits of a team without a priority of its own.
     *
     * @param team the team, not null
     * @param unitsPerSecond the rate in units per second; there is no limit if the rate and the burst are both zero
     * @param burst the units that the team may spend beyond the rate, zero or more
     * @param countsTokens whether the units of a request are its tokens; otherwise a request counts as one unit
     * @param plainUnits units of a request that states no number of tokens, zero or more
     * @param allowedRegions the regions in which requests of the team may run, empty for all regions
     */
    public TeamAllowance(
            final TeamName team,
            final double unitsPerSecond,
            final double burst,
            final boolean countsTokens,
            final long plainUnits,
            final Set<RegionName> allowedRegions) {
        this(team, unitsPerSecond, burst, countsTokens, plainUnits, allowedRegions, Precedence.DEFAULT_PRIORITY);
    }

    /**
     * Returns whether the requests of the team are limited.
     *
     * @return true if the rate or the burst is more than zero
     */
    public boolean isLimited() {
        return unitsPerSecond > 0 || burst > 0;
    }
}
