package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Numbers of tokens that a request to an engine may need.
 *
 * @param prompt the number of tokens of the prompt, not negative
 * @param output the largest number of tokens to generate, not negative
 */
public record TokenDemand(long prompt, long output) {
    /** Validates the numbers. */
    public TokenDemand {
        Validate.notNegative(prompt, "prompt tokens");
        Validate.notNegative(output, "output tokens");
    }

    /**
     * Returns the largest memory use of the request, reached when all output is generated.
     *
     * @return the memory use in tokens
     */
    public long total() {
        return prompt + output;
    }
}
