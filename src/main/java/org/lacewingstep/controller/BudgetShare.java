package org.lacewingstep.controller;

import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamRange;

/**
 * Rate and capacity of one slot of a team's budget.
 *
 * <p>A debit may be spent until the lifetime of its grant ends, so the spending in a window of length w can reach the
 * tokens that the bucket grants in w plus that lifetime. The capacity is therefore lower than the slot's burst by the
 * tokens that accrue in one grant lifetime, which keeps the spending within rate and burst.
 *
 * @param tokensPerSecond the slot's rate in tokens per second
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
        final double rate = (double) team.tokensPerSecond() / TeamRange.SLOT_COUNT;
        final double burst = (double) team.burstTokens() / TeamRange.SLOT_COUNT;
        final double spentLate = rate * policy.grantLife().toMillis() / MILLISECONDS_PER_SECOND;
        return new BudgetShare(rate, Math.max(0, burst - spentLate));
    }

    /**
     * Computes the largest request that a team's budget can ever admit.
     *
     * @param team the team, not null
     * @param policy the policy, not null
     * @return the number of tokens
     */
    static long largestRequest(final Team team, final Policy policy) {
        return (long) Math.floor(of(team, policy).capacity()) * TeamRange.SLOT_COUNT;
    }
}
