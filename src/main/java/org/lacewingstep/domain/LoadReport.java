package org.lacewingstep.domain;

import java.util.List;

import org.lacewingstep.error.Validate;

/**
 * Load reported by an upstream. The report may be out of date when it is read.
 *
 * @param startIdentifier identifier of the present run of the upstream, changes with every restart, not blank
 * @param cold whether the upstream reports that it is in a cold start
 * @param held the memory held for each attempt, not null
 */
public record LoadReport(String startIdentifier, boolean cold, List<HeldMemory> held) {
    /** Validates the identifier and copies the list. */
    public LoadReport {
        Validate.notBlank(startIdentifier, "start identifier");
        held = List.copyOf(held);
    }

    /**
     * Memory of an upstream that is held for one attempt.
     *
     * @param attempt the attempt, not null
     * @param owner the process that sent the attempt, not null
     * @param pieces the number of memory pieces held, zero or more
     */
    public record HeldMemory(AttemptIdentifier attempt, Incarnation owner, int pieces) {
        /** Validates the components. */
        public HeldMemory {
            Validate.notNull(attempt, "attempt");
            Validate.notNull(owner, "owner");
            Validate.notNegative(pieces, "pieces");
        }
    }
}
