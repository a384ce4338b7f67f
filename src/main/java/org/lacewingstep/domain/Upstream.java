package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A configured upstream of a service.
 *
 * @param name the name of the upstream, not null
 * @param service the service, not null
 * @param role the role of the upstream in its service, not null
 * @param address the address on which the upstream listens, not null
 * @param failureDomain the failure domain of the upstream, not null
 * @param cell the cell of the upstream, not null
 * @param memoryPieces the number of KV memory pieces of a decode upstream, or of concurrent calls of a prefill or plain
 *     upstream; more than zero
 * @param leaving whether the upstream is being removed and receives no new requests
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
    /** Validates the components. */
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
     * Returns a copy of this upstream with the given value of {@code leaving}.
     *
     * @param newLeaving whether the upstream is being removed and receives no new requests
     * @return the copy, never null
     */
    public Upstream withLeaving(final boolean newLeaving) {
        return new Upstream(name, service, role, address, failureDomain, cell, memoryPieces, newLeaving);
    }
}
