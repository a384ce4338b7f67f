package org.lacewingstep.domain;

import com.google.common.hash.Hashing;

/** Divides the teams into ranges by a hash of their names. */
public final class TeamRange {
    /** Number of ranges. */
    public static final int RANGE_COUNT = 1024;

    /** Number of slots into which the budget of each team is divided; each slot of a range has its own shard owner. */
    public static final int SLOT_COUNT = 2;

    private TeamRange() {}

    /**
     * Finds the range of a team.
     *
     * @param team the name of the team, not null
     * @return the number of the range, from zero to less than {@link #COUNT}
     */
    public static int rangeOf(final TeamName team) {
        final int hash = Hashing.murmur3_128().hashUnencodedChars(team.value()).asInt();
        return Math.floorMod(hash, RANGE_COUNT);
    }
}
