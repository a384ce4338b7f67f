package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A member of the roster.
 *
 * @param incarnation the running process, not null
 * @param address where peers reach it, not null
 * @param failureDomain its failure domain, not null
 */
public record Member(Incarnation incarnation, PeerAddress address, FailureDomainName failureDomain) {
    /** Checks the parts. */
    public Member {
        Validate.notNull(incarnation, "incarnation");
        Validate.notNull(address, "address");
        Validate.notNull(failureDomain, "failure domain");
    }

    /**
     * Gets the instance's name.
     *
     * @return the name, never null
     */
    public InstanceName name() {
        return incarnation.instance();
    }
}
