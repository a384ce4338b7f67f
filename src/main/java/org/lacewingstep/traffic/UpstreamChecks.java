package org.lacewingstep.traffic;

import java.util.function.Predicate;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.error.Validate;

/**
 * What the newest blackboard says about upstreams, which may have changed since they were chosen.
 *
 * @param acceptsRequests whether an upstream may be sent a request now, not null
 * @param isLimited whether the last known response of an upstream named a rate of requests, not null
 */
public record UpstreamChecks(Predicate<RegisteredUpstream> acceptsRequests, Predicate<RegisteredUpstream> isLimited) {
    /** Checks that all parts are present. */
    public UpstreamChecks {
        Validate.notNull(acceptsRequests, "check of acceptance");
        Validate.notNull(isLimited, "check of limits");
    }
}
