package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of an instance.
 *
 * @param value the text of the name, not blank
 */
public record InstanceName(String value) implements Comparable<InstanceName> {
    /** Validates the text. */
    public InstanceName {
        Validate.notBlank(value, "instance");
    }

    @Override
    public int compareTo(final InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
