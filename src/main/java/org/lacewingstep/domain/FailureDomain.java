package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A group of upstreams and instances that can fail together.
 *
 * @param name the name of the failure domain, not null
 * @param takenOut whether operators took the failure domain out of service; its upstreams then receive no new requests
 */
public record FailureDomain(FailureDomainName name, boolean takenOut) {
    /** Validates the name. */
    public FailureDomain {
        Validate.notNull(name, "failure domain");
    }
}
