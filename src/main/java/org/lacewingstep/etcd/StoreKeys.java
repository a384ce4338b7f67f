package org.lacewingstep.etcd;

import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.TeamName;

/** Names of the keys that the system uses in the store. */
public final class StoreKeys {
    /** Prefix of the claims of idempotency keys. */
    public static final String CLAIMS = "lacewingstep/claims/";

    /** The head of the configuration. */
    public static final String CONFIGURATION_HEAD = "lacewingstep/configuration/head";

    /** Prefix of the parts of configurations. */
    public static final String CONFIGURATION_PART = "lacewingstep/configuration/part/";

    /** Prefix of the keys that go with the lease of an instance. */
    public static final String LEASES = "lacewingstep/leases/";

    /** The roster. */
    public static final String ROSTER = "lacewingstep/roster";

    private StoreKeys() {}

    /**
     * Names the claim of an idempotency key.
     *
     * @param team the team, not null
     * @param key the idempotency key, not null
     * @return the key, never null
     */
    public static String claim(final TeamName team, final IdempotencyKey key) {
        return CLAIMS + team + "/" + key;
    }

    /**
     * Names the key that goes with the lease of a process.
     *
     * @param process the process, not null
     * @return the key, never null
     */
    public static String lease(final Incarnation process) {
        return LEASES + process;
    }
}
