package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Digest of the key by which a caller marks repetitions of one call.
 *
 * @param value the text, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Checks the text. */
    public IdempotencyKey {
        Validate.notBlank(value, "idempotency key");
    }

    @Override
    public int compareTo(final IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
