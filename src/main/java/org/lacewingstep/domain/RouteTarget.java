package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the service, not null
 * @param weight its share against the other targets' weights, zero or more
 */
public record RouteTarget(ServiceName service, double weight) {
    /** Checks the parts. */
    public RouteTarget {
        Validate.notNull(service, "service");
        Validate.isTrue(weight >= 0, "weight", "zero or more");
    }
}
