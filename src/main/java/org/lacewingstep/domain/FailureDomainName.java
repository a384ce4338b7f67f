package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of a failure domain.
 *
 * @param value the text of the name, not blank
 */
public record FailureDomainName(String value) implements Comparable<FailureDomainName> {
    /** Validates the text. */
    public FailureDomainName {
        Validate.notBlank(value, "failure domain");
    }

    @Override
    public int compareTo(final FailureDomainName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
