package org.lacewingstep.domain;

import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * Capacity at the upstreams of a cell, reserved for one attempt.
 *
 * @param attempt the attempt, not null
 * @param owner the process that runs the attempt, not null
 * @param cell the cell of the upstreams, not null
 * @param prefill the upstream that processes the prompt, empty for plain services
 * @param target the decode or plain upstream that produces the response, not null
 * @param pieces the number of memory pieces reserved at the target, more than zero
 */
public record Reservation(
        AttemptIdentifier attempt,
        Incarnation owner,
        CellName cell,
        Optional<UpstreamName> prefill,
        UpstreamName target,
        int pieces) {
    /** Validates the components. */
    public Reservation {
        Validate.notNull(attempt, "attempt");
        Validate.notNull(owner, "owner");
        Validate.notNull(cell, "cell");
        Validate.notNull(prefill, "prefill");
        Validate.notNull(target, "target");
        Validate.isTrue(pieces > 0, "pieces", "more than zero");
    }
}
