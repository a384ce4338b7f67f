package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * What is running at an upstream.
 *
 * @param requests the requests
 * @param tokens the memory they need at their end, in tokens
 */
public record UpstreamUse(int requests, long tokens) {
    /** Nothing is running. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /** Checks the numbers. */
    public UpstreamUse {
        Validate.notNegative(requests, "requests");
        Validate.notNegative(tokens, "tokens");
    }

    /**
     * Adds another use.
     *
     * @param other the other one, not null
     * @return the sum, never null
     */
    public UpstreamUse plus(final UpstreamUse other) {
        return new UpstreamUse(requests + other.requests, tokens + other.tokens);
    }

    /**
     * Takes one request out.
     *
     * @param size the memory it needed, in tokens
     * @return the rest, never null
     */
    public UpstreamUse minusOne(final long size) {
        return new UpstreamUse(Math.max(0, requests - 1), Math.max(0, tokens - size));
    }
}
