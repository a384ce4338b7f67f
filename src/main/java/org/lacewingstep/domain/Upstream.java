package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * An upstream of a service.
 *
 * @param name the name, not null
 * @param service the service, not null
 * @param role its work, not null
 * @param address where it listens, not null
 * @param failureDomain its failure domain, not null
 * @param cell its cell, not null
 * @param memoryPieces pieces of KV memory, or concurrent calls of a prefill or plain upstream; more than zero
 * @param leaving whether it gets no new work
 */
public record Upstream(
        UpstreamName name,
        ServiceName service,
        UpstreamRole role,
        PeerAddress address,
        FailureDomainName failureDomain,
        CellName cell,
        int memoryPieces,
        boolean leaving) {
    /** Checks the parts. */
    public Upstream {
        Validate.notNull(name, "upstream");
        Validate.notNull(service, "service");
        Validate.notNull(role, "role");
        Validate.notNull(address, "address");
        Validate.notNull(failureDomain, "failure domain");
        Validate.notNull(cell, "cell");
        Validate.isTrue(memoryPieces > 0, "memory_pieces", "more than zero");
    }

    /**
     * Copies this upstream with another wish to leave.
     *
     * @param next whether it gets no new work
     * @return the copy, never null
     */
    public Upstream withLeaving(final boolean next) {
        return new Upstream(name, service, role, address, failureDomain, cell, memoryPieces, next);
    }
}
