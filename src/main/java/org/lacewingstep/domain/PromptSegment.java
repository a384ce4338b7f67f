package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A part of a prompt with its length.
 *
 * @param part the part, not null
 * @param tokens the number of tokens of the part, not negative
 */
public record PromptSegment(PromptPart part, long tokens) {
    /** Validates the components. */
    public PromptSegment {
        Validate.notNull(part, "part");
        Validate.notNegative(tokens, "tokens");
    }
}
