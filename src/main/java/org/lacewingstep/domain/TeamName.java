package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of a team.
 *
 * @param value the text of the name, not blank
 */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Validates the text. */
    public TeamName {
        Validate.notBlank(value, "team");
    }

    @Override
    public int compareTo(final TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
