package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A part of a prompt that several requests may share.
 *
 * @param identifier the identifier of the part's text, not blank
 */
public record PromptPart(String identifier) implements Comparable<PromptPart> {
    /** Validates the identifier. */
    public PromptPart {
        Validate.notBlank(identifier, "prompt part");
    }

    @Override
    public int compareTo(final PromptPart other) {
        return identifier.compareTo(other.identifier);
    }

    @Override
    public String toString() {
        return identifier;
    }
}
