package org.lacewingstep.domain;

import java.util.Set;

/** Who may use a route. */
public sealed interface Access {
    /**
     * Tells whether a team may use the route.
     *
     * @param team the team, not null
     * @return true if it may
     */
    default boolean permits(final TeamName team) {
        return switch (this) {
            case OpenToAll() -> true;
            case OpenToTeams(Set<TeamName> teams) -> teams.contains(team);
        };
    }

    /** Open to all callers, with or without a key. */
    record OpenToAll() implements Access {}

    /**
     * Open to some teams.
     *
     * @param teams the teams, not null
     */
    record OpenToTeams(Set<TeamName> teams) implements Access {
        /** Copies the teams. */
        public OpenToTeams {
            teams = Set.copyOf(teams);
        }
    }
}
