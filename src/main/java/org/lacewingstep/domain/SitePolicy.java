package org.lacewingstep.domain;

import java.time.Duration;
import java.util.Map;

import org.lacewingstep.error.Validate;

/**
 * The failure domain of this instance and the limits that the site sets for all instances together.
 *
 * @param instance the name of this instance, not null
 * @param failureDomain the failure domain of this instance, not null
 * @param regions the region of each failure domain, not null
 * @param withdrawalLimit longest time until all instances reject a withdrawn key, positive
 * @param shutdownLimit time from the stop request to the forced termination of the process, positive
 * @param retryRatio number of retries allowed per first attempt of a request
 * @param retryWindow length of the window in which retries are counted, positive
 * @param retrySlack number of retries allowed in a window in addition to the ratio
 * @param rateWindow length of the window in which the units of a team are counted, positive
 * @param rateExcess share of a team's limit by which the team may exceed this limit
 * @param rateSlack units in a window by which a team may exceed its limit in addition to the share
 * @param coldExcess factor that multiplies the rate of a cold upstream to give the highest permitted rate
 * @param coldSlack requests per second permitted to a cold upstream in addition to the factor
 * @param orderInterval shortest time between orders of two instances to the same upstream, positive
 * @param rollout the limits for requests to a version before it is judged, not null
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
        double coldSlack,
        Duration orderInterval,
        RolloutBounds rollout) {
    /** Validates the components. */
    public SitePolicy {
        Validate.notNull(instance, "instance");
        Validate.notNull(failureDomain, "failure domain");
        regions = Map.copyOf(regions);
        Validate.positive(withdrawalLimit, "withdrawal limit");
        Validate.positive(shutdownLimit, "shutdown limit");
        Validate.positive(retryWindow, "retry window");
        Validate.positive(rateWindow, "rate window");
        Validate.positive(orderInterval, "order interval");
        Validate.notNull(rollout, "rollout");
    }

    /**
     * Creates the policy of a site without rollouts.
     *
     * @param instance the name of this instance, not null
     * @param failureDomain the failure domain of this instance, not null
     * @param regions the region of each failure domain, not null
     * @param withdrawalLimit longest time until all instances reject a withdrawn key, positive
     * @param shutdownLimit time from the stop request to the forced termination of the process, positive
     * @param retryRatio number of retries allowed per first attempt of a request
     * @param retryWindow length of the window in which retries are counted, positive
     * @param retrySlack number of retries allowed in a window in addition to the ratio
     * @param rateWindow length of the window in which the units of a team are counted, positive
     * @param rateExcess share of a team's limit by which the team may exceed this limit
     * @param rateSlack units in a window by which a team may exceed its limit in addition to the share
     * @param coldExcess factor that multiplies the rate of a cold upstream to give the highest permitted rate
     * @param coldSlack requests per second permitted to a cold upstream in addition to the factor
     * @param orderInterval shortest time between orders of two instances to the same upstream, positive
     */
    public SitePolicy(
            final InstanceName instance,
            final FailureDomainName failureDomain,
            final Map<FailureDomainName, RegionName> regions,
            final Duration withdrawalLimit,
            final Duration shutdownLimit,
            final double retryRatio,
            final Duration retryWindow,
            final double retrySlack,
            final Duration rateWindow,
            final double rateExcess,
            final double rateSlack,
            final double coldExcess,
            final double coldSlack,
            final Duration orderInterval) {
        this(
                instance,
                failureDomain,
                regions,
                withdrawalLimit,
                shutdownLimit,
                retryRatio,
                retryWindow,
                retrySlack,
                rateWindow,
                rateExcess,
                rateSlack,
                coldExcess,
                coldSlack,
                orderInterval,
                RolloutBounds.NONE);
    }
}
