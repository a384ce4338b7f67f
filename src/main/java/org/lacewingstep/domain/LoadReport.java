package org.lacewingstep.domain;

import java.util.List;

import org.lacewingstep.error.Validate;

/**
 * What an upstream reports of itself; it lags behind.
 *
 * @param startIdentifier changes whenever the upstream starts anew, not blank
 * @param cold whether it says that it is in a cold start
 * @param held what its memory is held for, not null
 */
public record LoadReport(String startIdentifier, boolean cold, List<HeldMemory> held) {
    /** Checks the identifier and copies the list. */
    public LoadReport {
        Validate.notBlank(startIdentifier, "start identifier");
        held = List.copyOf(held);
    }

    /**
     * Memory held for one attempt.
     *
     * @param attempt the attempt, not null
     * @param owner the instance that sent it, not null
     * @param pieces pieces of memory, zero or more
     */
    public record HeldMemory(AttemptIdentifier attempt, Incarnation owner, int pieces) {
        /** Checks the parts. */
        public HeldMemory {
            Validate.notNull(attempt, "attempt");
            Validate.notNull(owner, "owner");
            Validate.notNegative(pieces, "pieces");
        }
    }
}
