package org.lacewingstep.blackboard;

import java.time.Instant;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TeamRange;
import org.lacewingstep.domain.TokenBucket;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;

/**
 * The slots of team budgets of which this process is the shard owner.
 *
 * @param budgets the budget of each owned slot, not null
 * @param handedOver levels received from former shard owners for an epoch that has not settled at this process, not
 *     null
 */
public record TeamBudgetSection(PMap<SlotKey, SlotBudget> budgets, PMap<SlotKey, HandedOverLevel> handedOver)
        implements ShardedSection {
    /** The initial section of a process. */
    public static final TeamBudgetSection INITIAL = new TeamBudgetSection(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * Replaces the budget of one slot.
     *
     * @param key the key of the slot, not null
     * @param budget the new budget, not null
     * @return the updated section, never null
     */
    public TeamBudgetSection with(final SlotKey key, final SlotBudget budget) {
        return new TeamBudgetSection(budgets.plus(key, budget), handedOver);
    }

    /**
     * Identifies a slot of one team's budget.
     *
     * @param team the team, not null
     * @param slot the number of the slot
     */
    public record SlotKey(TeamName team, int slot) {
        /**
         * Returns the shard that the slot belongs to.
         *
         * @return the shard, never null
         */
        public Shard shard() {
            return new Shard.TeamShard(TeamRange.rangeOf(team), slot);
        }
    }

    /**
     * The budget of one slot.
     *
     * @param bucket the token bucket of the slot, not null
     * @param waiting token requests that wait for tokens, served in order of arrival, not null
     */
    public record SlotBudget(TokenBucket bucket, PVector<QueuedTokenRequest> waiting) {}

    /**
     * A token request that waits for tokens.
     *
     * @param requester the process that sent the token request, not null
     * @param query the number of the token request at that process
     * @param tokens the number of tokens needed
     * @param until when the token request is refused, not null
     */
    public record QueuedTokenRequest(Incarnation requester, long query, long tokens, Instant until) {}

    /**
     * A level of a slot received from the former shard owner.
     *
     * @param epoch the epoch from which this process is the shard owner
     * @param level the level of the slot, in tokens
     */
    public record HandedOverLevel(long epoch, double level) {}
}
