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
 * The slots of team budgets that this process is home of.
 *
 * @param budgets the budget of each slot held, not null
 * @param handedOver levels received for an epoch that has not settled here, not null
 */
public record TeamBudgetSection(PMap<SlotKey, SlotBudget> budgets, PMap<SlotKey, HandedOver> handedOver)
        implements HomeSection {
    /** The section of a process that starts. */
    public static final TeamBudgetSection INITIAL = new TeamBudgetSection(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * Replaces one slot's budget.
     *
     * @param key the slot, not null
     * @param budget the budget, not null
     * @return the section with it, never null
     */
    public TeamBudgetSection with(final SlotKey key, final SlotBudget budget) {
        return new TeamBudgetSection(budgets.plus(key, budget), handedOver);
    }

    /**
     * Names a slot of one team's budget.
     *
     * @param team the team, not null
     * @param slot the slot
     */
    public record SlotKey(TeamName team, int slot) {
        /**
         * Finds the shard that the slot belongs to.
         *
         * @return the shard, never null
         */
        public Shard shard() {
            return new Shard.TeamShard(TeamRange.of(team), slot);
        }
    }

    /**
     * One slot of a budget.
     *
     * @param bucket the tokens, not null
     * @param waiting questions that wait for tokens, first come first served, not null
     */
    public record SlotBudget(TokenBucket bucket, PVector<Waiting> waiting) {}

    /**
     * A question that waits for tokens.
     *
     * @param asker the process that asked, not null
     * @param question the number of the question
     * @param tokens the tokens needed
     * @param until when it is refused, not null
     */
    public record Waiting(Incarnation asker, long question, long tokens, Instant until) {}

    /**
     * A level received from the former home.
     *
     * @param epoch the epoch from which this process is home
     * @param level the tokens
     */
    public record HandedOver(long epoch, double level) {}
}
