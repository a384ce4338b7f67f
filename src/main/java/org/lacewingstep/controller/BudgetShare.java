package org.lacewingstep.controller;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamRange;

/**
 * What one slot of a team's budget may give.
 *
 * <p>A debit may be spent up to the grant's life later, so spending in a window of length w can reach what the bucket
 * gives in w plus that life. The capacity is lower by that much, so that the sum stays within rate and burst.
 *
 * @param tokensPerSecond the slot's rate in tokens a second
 * @param capacity the slot's capacity in tokens
 */
record BudgetShare(double tokensPerSecond, double capacity) {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /**
     * Computes the share of one slot.
     *
     * @param team the team, not null
     * @param policy the policy, not null
     * @return the share, never null
     */
    static BudgetShare of(final Team team, final Policy policy) {
        final double rate = (double) team.tokensPerSecond() / TeamRange.SLOTS;
        final double burst = (double) team.burstTokens() / TeamRange.SLOTS;
        final double delayed = rate * policy.grantLife().toMillis() / MILLISECONDS_PER_SECOND;
        return new BudgetShare(rate, Math.max(0, burst - delayed));
    }

    /**
     * Computes the largest request that a team's budget can ever admit.
     *
     * @param team the team, not null
     * @param policy the policy, not null
     * @return the tokens
     */
    static long largestRequest(final Team team, final Policy policy) {
        return (long) Math.floor(of(team, policy).capacity()) * TeamRange.SLOTS;
    }
}
