package org.lacewingstep.domain;

import com.google.common.hash.Hashing;

/** Divides the teams into ranges. */
public final class TeamRange {
    /** Number of ranges in the fleet. */
    public static final int COUNT = 1024;

    /** Into how many slots, each with a home of its own, every team's budget is divided. */
    public static final int SLOTS = 2;

    private TeamRange() {}

    /**
     * Finds the range of a team.
     *
     * @param team the team, not null
     * @return the range, less than {@link #COUNT}
     */
    public static int of(final TeamName team) {
        final int hash = Hashing.murmur3_128().hashUnencodedChars(team.value()).asInt();
        return Math.floorMod(hash, COUNT);
    }
}
