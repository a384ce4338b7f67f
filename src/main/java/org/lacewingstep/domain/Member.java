package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A member of the roster.
 *
 * @param incarnation the process of the member, not null
 * @param address the address at which peers reach the member, not null
 * @param failureDomain the failure domain of the member, not null
 */
public record Member(Incarnation incarnation, PeerAddress address, FailureDomainName failureDomain) {
    /** Validates the components. */
    public Member {
        Validate.notNull(incarnation, "incarnation");
        Validate.notNull(address, "address");
        Validate.notNull(failureDomain, "failure domain");
    }

    /**
     * Returns the name of the member's instance.
     *
     * @return the name, never null
     */
    public InstanceName name() {
        return incarnation.instance();
    }
}
