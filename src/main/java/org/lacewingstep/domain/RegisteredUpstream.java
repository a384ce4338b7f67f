package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * An upstream as it describes itself in the registry.
 *
 * @param name its identifier there, not null
 * @param startedAtMillis the Unix millisecond of its start; a changed one means that it has lost all it held
 * @param service the service it belongs to, not null
 * @param address where it is reached, not null
 * @param failureDomain its failure domain, not null
 * @param role the work it does, not null
 * @param slots requests it runs at once
 * @param draining whether it is about to leave
 * @param coldFor how long it stays in its cold start, not negative
 */
public record RegisteredUpstream(
        UpstreamName name,
        long startedAtMillis,
        ServiceName service,
        PeerAddress address,
        FailureDomainName failureDomain,
        UpstreamRole role,
        int slots,
        boolean draining,
        Duration coldFor) {
    /** Checks the parts. */
    public RegisteredUpstream {
        Validate.notNull(name, "upstream");
        Validate.notNull(service, "service");
        Validate.notNull(address, "address");
        Validate.notNull(failureDomain, "failure domain");
        Validate.notNull(role, "role");
        Validate.isTrue(slots > 0, "slots", "more than zero");
        Validate.notNull(coldFor, "cold time");
    }
}
