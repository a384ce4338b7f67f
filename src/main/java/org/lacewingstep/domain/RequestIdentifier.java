package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Identifier of a request, unique across all instances.
 *
 * @param value the text of the identifier, not blank
 */
public record RequestIdentifier(String value) implements Comparable<RequestIdentifier> {
    /** Validates the text. */
    public RequestIdentifier {
        Validate.notBlank(value, "request");
    }

    @Override
    public int compareTo(final RequestIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
