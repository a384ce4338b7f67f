package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of a region, a group of failure domains.
 *
 * @param value the text of the name, not blank
 */
public record RegionName(String value) implements Comparable<RegionName> {
    /** Validates the text. */
    public RegionName {
        Validate.notBlank(value, "region");
    }

    @Override
    public int compareTo(final RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
