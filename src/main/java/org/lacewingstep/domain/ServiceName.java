package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of a service.
 *
 * @param value the text of the name, not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Validates the text. */
    public ServiceName {
        Validate.notBlank(value, "service");
    }

    @Override
    public int compareTo(final ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
