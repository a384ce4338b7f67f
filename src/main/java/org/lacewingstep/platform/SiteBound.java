package org.lacewingstep.platform;

/**
 * A bound of the site, the contract that defines it and the value that holds where the contract is not in force and the
 * bound is absent. A default never loosens what the site is held to: a limit without a figure keeps the plain rate.
 */
enum SiteBound {
    /** Longest time until all instances reject a withdrawn key, in milliseconds. */
    REVOKE("revokeMs", "tenants", 5000),
    /** Time from the stop request to the forced termination of the process, in seconds. */
    GRACE("graceS", "drain", 8),
    /** Retries allowed per first attempt. */
    RETRY_RATIO("retryBudgetRatio", "retry", 0.1),
    /** Length of the window in which retries are counted, in seconds. */
    RETRY_WINDOW("budgetWindowS", "retry", 10),
    /** Retries allowed in a window in addition to the ratio. */
    RETRY_SLACK("retrySlack", "retry", 10),
    /** Length of the window in which the units of a team are counted, in seconds. */
    RATE_WINDOW("quotaWindowS", "quota", 8),
    /** Share of its limit by which a team may exceed this limit. */
    RATE_EXCESS("quotaOver", "quota", 0),
    /** Units in a window by which a team may exceed its limit in addition to the share. */
    RATE_SLACK("quotaSlack", "quota", 0),
    /** Factor that multiplies the rate of a cold upstream to give the highest permitted rate. */
    COLD_EXCESS("coldOver", "places", 1),
    /** Requests per second permitted to a cold upstream in addition to the factor. */
    COLD_SLACK("coldSlack", "places", 0),
    /** Shortest time between orders of two instances to the same upstream, in milliseconds. */
    ORDER_INTERVAL("leaseMs", "engine", 3000),
    /** Largest share of a service's requests that reach a version before it is judged. */
    EXPOSURE_SHARE("exposeShare", "rollout", 0),
    /** Requests that may reach a version before it is judged in addition to the share. */
    EXPOSURE_SLACK("exposeSlack", "rollout", 0),
    /** Longest time until nothing more is sent to a version with many bad responses, in milliseconds. */
    ROLLBACK("rollbackMs", "rollout", 5000);

    private final String key;
    private final String contract;
    private final double absent;

    SiteBound(final String key, final String contract, final double absent) {
        this.key = key;
        this.contract = contract;
        this.absent = absent;
    }

    /**
     * Returns the name of the bound in the settings file.
     *
     * @return the name, never null
     */
    String key() {
        return key;
    }

    /**
     * Returns the contract that defines the bound.
     *
     * @return the name of the contract, never null
     */
    String contract() {
        return contract;
    }

    /**
     * Returns the value that holds if the bound is absent and its contract is not in force.
     *
     * @return the value in the unit of the bound
     */
    double absentValue() {
        return absent;
    }
}
