package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of an upstream.
 *
 * @param value the text of the name, not blank
 */
public record UpstreamName(String value) implements Comparable<UpstreamName> {
    /** Validates the text. */
    public UpstreamName {
        Validate.notBlank(value, "upstream");
    }

    @Override
    public int compareTo(final UpstreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
