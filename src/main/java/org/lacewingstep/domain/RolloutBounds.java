package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * The limits that the site sets for requests to a version before it is judged.
 *
 * @param share the largest share of a service's requests that may reach the version, 0 to 1
 * @param slack number of requests that may reach the version in addition to the share
 * @param stopLimit longest time until nothing more is sent to a version that has given many bad responses, positive
 */
public record RolloutBounds(double share, double slack, Duration stopLimit) {
    /** The bounds of a site without rollouts: no request reaches a version before it is judged. */
    public static final RolloutBounds NONE = new RolloutBounds(0, 0, Duration.ofSeconds(5));

    /** Validates the components. */
    public RolloutBounds {
        Validate.isTrue(share >= 0 && share <= 1, "share", "from 0 to 1");
        Validate.isTrue(slack >= 0, "slack", "zero or more");
        Validate.positive(stopLimit, "stop limit");
    }

    /**
     * Returns whether the site permits rollouts.
     *
     * @return true if some requests may reach a version before it is judged
     */
    public boolean permitRollouts() {
        return share > 0 || slack > 0;
    }
}
