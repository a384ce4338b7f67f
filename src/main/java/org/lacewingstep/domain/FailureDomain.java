package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A failure domain.
 *
 * @param name the name, not null
 * @param takenOut whether its upstreams get no new work
 */
public record FailureDomain(FailureDomainName name, boolean takenOut) {
    /** Checks the name. */
    public FailureDomain {
        Validate.notNull(name, "failure domain");
    }
}
