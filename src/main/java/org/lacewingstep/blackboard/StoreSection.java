package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * The era of the platform's store, which rises each time that the store comes back from a copy.
 *
 * @param era the highest era seen, zero before the first response and for a store that names none
 * @param seen whether the store has responded
 * @param restoredAt when this instance learnt that the store came back from a copy, the epoch if it has not, not null
 */
public record StoreSection(long era, boolean seen, Instant restoredAt) implements ServingSection {
    /** Time within which the operators and the upstreams write again what the copy lacks. */
    public static final Duration REWRITE_PERIOD = Duration.ofSeconds(2);

    /** The initial section of a process. */
    public static final StoreSection INITIAL = new StoreSection(0, false, Instant.EPOCH);

    /** Checks the era. */
    public StoreSection {
        Validate.notNegative(era, "era");
        Validate.notNull(restoredAt, "restoredAt");
    }

    /**
     * Computes when what the copy lacks has been written again.
     *
     * @return the time, long ago if the store has not come back from a copy, never null
     */
    public Instant settledAt() {
        return restoredAt.plus(REWRITE_PERIOD);
    }

    /**
     * Returns whether the store may still lack what it had acknowledged before it came back from a copy.
     *
     * @param now the present time, not null
     * @return true if the store came back from a copy a short time ago
     */
    public boolean isIncomplete(final Instant now) {
        return now.isBefore(settledAt());
    }
}
