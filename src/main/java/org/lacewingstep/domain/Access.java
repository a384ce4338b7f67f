package org.lacewingstep.domain;

import java.util.Set;

/** Access rule that states which callers may use a service. */
public sealed interface Access {
    /**
     * Returns whether a team may use the service.
     *
     * @param team the team, not null
     * @return true if the team has access
     */
    default boolean permits(final TeamName team) {
        return switch (this) {
            case OpenToAll() -> true;
            case OpenToTeams(Set<TeamName> teams) -> teams.contains(team);
        };
    }

    /** Grants access to all callers, with or without a key. */
    record OpenToAll() implements Access {}

    /**
     * Grants access to the listed teams only.
     *
     * @param teams the teams that have access, not null
     */
    record OpenToTeams(Set<TeamName> teams) implements Access {
        /** Copies the set of teams. */
        public OpenToTeams {
            teams = Set.copyOf(teams);
        }
    }
}
