package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the service, not null
 * @param weight the share of the service relative to the weights of the other targets, zero or more
 */
public record RouteTarget(ServiceName service, double weight) {
    /** Validates the components. */
    public RouteTarget {
        Validate.notNull(service, "service");
        Validate.isTrue(weight >= 0, "weight", "zero or more");
    }
}
