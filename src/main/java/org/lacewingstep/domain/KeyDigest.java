package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Hexadecimal SHA-256 digest of a caller's key.
 *
 * @param value the text, not blank
 */
public record KeyDigest(String value) implements Comparable<KeyDigest> {
    /** Checks the text. */
    public KeyDigest {
        Validate.notBlank(value, "key digest");
    }

    @Override
    public int compareTo(final KeyDigest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
