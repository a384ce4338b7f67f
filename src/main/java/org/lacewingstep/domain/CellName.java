package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of a cell, a group of upstreams of one service.
 *
 * @param value the text of the name, not blank
 */
public record CellName(String value) implements Comparable<CellName> {
    /** Validates the text. */
    public CellName {
        Validate.notBlank(value, "cell");
    }

    @Override
    public int compareTo(final CellName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
