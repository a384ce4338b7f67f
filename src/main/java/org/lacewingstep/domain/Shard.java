package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** A part of the state shared by all instances. One instance at a time owns a shard. */
public sealed interface Shard {
    /**
     * Returns the hash key by which the owner of the shard is chosen; the slots of a range share one key.
     *
     * @return the hash key, never null
     */
    default String hashKey() {
        return switch (this) {
            case TeamShard(int range, int slot) -> "teams:" + range;
            case CellShard(CellName cell) -> "cell:" + cell;
        };
    }

    /**
     * One slot of the token budgets of a range of teams.
     *
     * @param range the number of the range of teams, zero or more
     * @param slot the number of the slot, zero or more; each slot holds an equal part of every budget
     */
    record TeamShard(int range, int slot) implements Shard {
        /** Validates range and slot. */
        public TeamShard {
            Validate.notNegative(range, "range");
            Validate.notNegative(slot, "slot");
        }
    }

    /**
     * The engine memory and the cold-start limits of a cell.
     *
     * @param cell the cell, not null
     */
    record CellShard(CellName cell) implements Shard {
        /** Validates the cell. */
        public CellShard {
            Validate.notNull(cell, "cell");
        }
    }
}
