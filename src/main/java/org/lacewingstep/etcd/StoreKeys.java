package org.lacewingstep.etcd;

import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.TeamName;

/** Keys and key prefixes of the store entries that the system uses. */
public final class StoreKeys {
    /** Prefix of the keys that hold claims on idempotency keys. */
    public static final String CLAIM_PREFIX = "lacewingstep/claims/";

    /** Key of the head of the configuration. */
    public static final String CONFIGURATION_HEAD = "lacewingstep/configuration/head";

    /** Prefix of the keys that hold the parts of configurations; the digest of the part follows. */
    public static final String CONFIGURATION_PART_PREFIX = "lacewingstep/configuration/part/";

    /** Prefix of the keys that are attached to the lease of a process and deleted when the lease expires. */
    public static final String LEASE_PREFIX = "lacewingstep/leases/";

    /** Key of the roster. */
    public static final String ROSTER = "lacewingstep/roster";

    private StoreKeys() {}

    /**
     * Returns the store key of the claim on an idempotency key.
     *
     * @param team the team, not null
     * @param key the idempotency key, not null
     * @return the store key, never null
     */
    public static String claimKey(final TeamName team, final IdempotencyKey key) {
        return CLAIM_PREFIX + team + "/" + key;
    }

    /**
     * Returns the store key that is attached to the lease of a process.
     *
     * @param process the process, not null
     * @return the store key, never null
     */
    public static String leaseKey(final Incarnation process) {
        return LEASE_PREFIX + process;
    }
}
