package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Number and memory of the requests running at an upstream.
 *
 * @param requests the number of running requests, not negative
 * @param tokens the memory that the requests need when all their output is generated, in tokens, not negative
 */
public record UpstreamUse(int requests, long tokens) {
    /** Use of an upstream that runs no requests. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /** Validates the numbers. */
    public UpstreamUse {
        Validate.notNegative(requests, "requests");
        Validate.notNegative(tokens, "tokens");
    }

    /**
     * Adds another use of the same upstream.
     *
     * @param other the use to add, not null
     * @return the sum, never null
     */
    public UpstreamUse plus(final UpstreamUse other) {
        return new UpstreamUse(requests + other.requests, tokens + other.tokens);
    }

    /**
     * Subtracts one request; neither number becomes negative.
     *
     * @param requestTokens the memory that the request needed, in tokens
     * @return the remaining use, never null
     */
    public UpstreamUse minusRequest(final long requestTokens) {
        return new UpstreamUse(Math.max(0, requests - 1), Math.max(0, tokens - requestTokens));
    }
}
