package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** A part of the fleet's shared state that has one home instance at a time. */
public sealed interface Shard {
    /**
     * Gets a text that identifies the shard's place in the fleet.
     *
     * @return the text, never null
     */
    default String label() {
        return switch (this) {
            case TeamShard(int range, int slot) -> "teams:" + range;
            case CellShard(CellName cell) -> "cell:" + cell;
        };
    }

    /**
     * One slot of the token budgets of a range of teams.
     *
     * @param range the range, zero or more
     * @param slot the slot, zero or more; each slot holds an equal part of every budget
     */
    record TeamShard(int range, int slot) implements Shard {
        /** Checks range and slot. */
        public TeamShard {
            Validate.notNegative(range, "range");
            Validate.notNegative(slot, "slot");
        }
    }

    /**
     * The engine memory and cold-start limits of a cell.
     *
     * @param cell the cell, not null
     */
    record CellShard(CellName cell) implements Shard {
        /** Checks the cell. */
        public CellShard {
            Validate.notNull(cell, "cell");
        }
    }
}
