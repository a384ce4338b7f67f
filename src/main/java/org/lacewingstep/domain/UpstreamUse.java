package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Number and memory of the requests running at an upstream, and how many were sent there lately.
 *
 * @param requests the number of running requests, not negative
 * @param tokens the memory that the requests need when all their output is generated, in tokens, not negative
 * @param arrivals the number of requests sent in the last second, not negative
 */
public record UpstreamUse(int requests, long tokens, int arrivals) {
    /** Use of an upstream that runs no requests. */
    public static final UpstreamUse NONE = new UpstreamUse(0, 0);

    /** Validates the numbers. */
    public UpstreamUse {
        Validate.notNegative(requests, "requests");
        Validate.notNegative(tokens, "tokens");
        Validate.notNegative(arrivals, "arrivals");
    }

    /**
     * Creates a use without recent arrivals.
     *
     * @param requests the number of running requests, not negative
     * @param tokens the memory that the requests need when all their output is generated, in tokens, not negative
     */
    public UpstreamUse(final int requests, final long tokens) {
        this(requests, tokens, 0);
    }

    /**
     * Adds another use of the same upstream.
     *
     * @param other the use to add, not null
     * @return the sum, never null
     */
    public UpstreamUse plus(final UpstreamUse other) {
        return new UpstreamUse(requests + other.requests, tokens + other.tokens, arrivals + other.arrivals);
    }

    /**
     * Subtracts a use that is part of this one.
     *
     * @param part the use to subtract, not null
     * @return the rest, never null
     */
    public UpstreamUse minus(final UpstreamUse part) {
        return new UpstreamUse(requests - part.requests, tokens - part.tokens, arrivals - part.arrivals);
    }

    /**
     * Subtracts one request; neither number becomes negative.
     *
     * @param requestTokens the memory that the request needed, in tokens
     * @return the remaining use, never null
     */
    public UpstreamUse minusRequest(final long requestTokens) {
        return new UpstreamUse(Math.max(0, requests - 1), Math.max(0, tokens - requestTokens), arrivals);
    }
}
