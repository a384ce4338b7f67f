package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * The operators' order to move the requests of a service to another version.
 *
 * @param service the service, not null
 * @param target the version that is to receive the requests, not null
 * @param limit the time in which the move has to be finished, positive
 * @param revision the store's revision of the order, which tells orders for the same service apart
 */
public record RolloutOrder(ServiceName service, VersionName target, Duration limit, long revision) {
    /** Validates the components. */
    public RolloutOrder {
        Validate.notNull(service, "service");
        Validate.notNull(target, "target");
        Validate.positive(limit, "limit");
    }
}
