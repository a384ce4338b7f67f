package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Name of the version of an upstream's software.
 *
 * @param value the text of the name, empty if the upstream names no version
 */
public record VersionName(String value) {
    /** The version of an upstream that names none. */
    public static final VersionName UNNAMED = new VersionName("");

    /** Checks that the text is present. */
    public VersionName {
        Validate.notNull(value, "version");
    }

    @Override
    public String toString() {
        return value;
    }
}
