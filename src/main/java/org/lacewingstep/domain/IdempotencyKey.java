package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Digest of the key that a caller sends to identify retries of one call.
 *
 * @param value the text of the digest, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Validates the text. */
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
