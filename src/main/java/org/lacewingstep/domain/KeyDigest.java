package org.lacewingstep.domain;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.lacewingstep.error.Validate;

/**
 * Hexadecimal SHA-256 digest of a key that a caller sent.
 *
 * @param value the digest as a hexadecimal text, not blank
 */
public record KeyDigest(String value) implements Comparable<KeyDigest> {
    /** Validates the text. */
    public KeyDigest {
        Validate.notBlank(value, "key digest");
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key, not null
     * @return the digest, never null
     */
    public static KeyDigest of(final String key) {
        return new KeyDigest(
                Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
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
