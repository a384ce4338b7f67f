package org.lacewingstep.domain;

import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * Room at the upstreams of a cell, held for one attempt.
 *
 * @param attempt the attempt, not null
 * @param owner the instance that runs it, not null
 * @param cell the cell, not null
 * @param prefill where the prompt is processed; empty for plain services
 * @param target the decode or plain upstream, not null
 * @param pieces pieces of memory at the target, more than zero
 */
public record Reservation(
        AttemptIdentifier attempt,
        Incarnation owner,
        CellName cell,
        Optional<UpstreamName> prefill,
        UpstreamName target,
        int pieces) {
    /** Checks the parts. */
    public Reservation {
        Validate.notNull(attempt, "attempt");
        Validate.notNull(owner, "owner");
        Validate.notNull(cell, "cell");
        Validate.notNull(prefill, "prefill");
        Validate.notNull(target, "target");
        Validate.isTrue(pieces > 0, "pieces", "more than zero");
    }
}
