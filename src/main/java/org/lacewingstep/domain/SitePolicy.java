package org.lacewingstep.domain;

import java.time.Duration;
import java.util.Map;

import org.lacewingstep.error.Validate;

/**
 * The place of this instance and the bounds that the site sets for all instances together.
 *
 * @param instance this instance, not null
 * @param failureDomain its failure domain, not null
 * @param regions the region of each failure domain, not null
 * @param withdrawalLimit time within which a withdrawn key stops working everywhere, positive
 * @param shutdownLimit time from the request to stop to the kill, positive
 * @param retryRatio repeated requests allowed for each first one
 * @param retryWindow the window in which repeats are counted, positive
 * @param retrySlack repeats allowed in a window beside the ratio
 * @param rateWindow the window in which a team's units are counted, positive
 * @param rateExcess share of a team's limit by which it may be passed
 * @param rateSlack units in a window by which a team's limit may be passed beside the share
 * @param coldExcess factor by which the rate of a cold upstream may be passed
 * @param coldSlack requests in a second by which the rate of a cold upstream may be passed beside the factor
 */
public record SitePolicy(
        InstanceName instance,
        FailureDomainName failureDomain,
        Map<FailureDomainName, RegionName> regions,
        Duration withdrawalLimit,
        Duration shutdownLimit,
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration rateWindow,
        double rateExcess,
        double rateSlack,
        double coldExcess,
        double coldSlack) {
    /** Checks the parts. */
    public SitePolicy {
        Validate.notNull(instance, "instance");
        Validate.notNull(failureDomain, "failure domain");
        regions = Map.copyOf(regions);
        Validate.positive(withdrawalLimit, "withdrawal limit");
        Validate.positive(shutdownLimit, "shutdown limit");
        Validate.positive(retryWindow, "retry window");
        Validate.positive(rateWindow, "rate window");
    }
}
