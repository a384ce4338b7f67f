package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Calls that wait for memory at engines, and the memory that calls asked for and returned in a period before.
 *
 * @param queued the number of calls in the queue, not negative
 * @param queuedTokens the memory that the queued calls need, in tokens, not negative
 * @param arrivedTokens the memory that the calls need which arrived in the period, in tokens, not negative
 * @param releasedTokens the memory that calls left in the period, in tokens, not negative
 */
public record Demand(int queued, long queuedTokens, long arrivedTokens, long releasedTokens) {
    /** No calls. */
    public static final Demand NONE = new Demand(0, 0, 0, 0);

    /** Validates the numbers. */
    public Demand {
        Validate.notNegative(queued, "queued");
        Validate.notNegative(queuedTokens, "queued tokens");
        Validate.notNegative(arrivedTokens, "arrived tokens");
        Validate.notNegative(releasedTokens, "released tokens");
    }

    /**
     * Adds another demand.
     *
     * @param other the demand to add, not null
     * @return the sum, never null
     */
    public Demand plus(final Demand other) {
        return new Demand(
                queued + other.queued,
                queuedTokens + other.queuedTokens,
                arrivedTokens + other.arrivedTokens,
                releasedTokens + other.releasedTokens);
    }

    /**
     * Subtracts a demand that was added before.
     *
     * @param other the demand to subtract, not null
     * @return the difference, never null
     */
    public Demand minus(final Demand other) {
        return new Demand(
                queued - other.queued,
                queuedTokens - other.queuedTokens,
                arrivedTokens - other.arrivedTokens,
                releasedTokens - other.releasedTokens);
    }
}
