package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.error.Validate;

/**
 * The era of the platform's store, which rises each time that the store comes back from a copy.
 *
 * @param era the highest era seen, zero before the first response and for a store that names none
 * @param seen whether the store has responded
 * @param restoredAt when this instance learnt that the store came back from a copy, empty if it has not, not null
 */
public record StoreSection(long era, boolean seen, Optional<Instant> restoredAt) implements LearnedSection {
    /** Time within which the operators write again what the copy lacks. */
    private static final Duration OPERATOR_REWRITE_PERIOD = Duration.ofMillis(1500);

    /** Time within which the upstreams write their entries again. */
    private static final Duration UPSTREAM_REWRITE_PERIOD = Duration.ofMillis(2500);

    /** Time after which nobody writes anything again that the copy lacks. */
    private static final Duration MAX_REWRITE_PERIOD = Duration.ofSeconds(10);

    /** The initial section of a process. */
    public static final StoreSection INITIAL = new StoreSection(0, false, Optional.empty());

    /** Checks the era. */
    public StoreSection {
        Validate.notNegative(era, "era");
        Validate.notNull(restoredAt, "restoredAt");
    }

    /**
     * Computes from when the store's routing table is the newest that the operators have written.
     *
     * @return the time, the epoch if the store has not come back from a copy, never null
     */
    public Instant tableSettledAt() {
        return settledAt(OPERATOR_REWRITE_PERIOD);
    }

    /**
     * Computes from when an upstream whose entry the store does not hold is gone.
     *
     * @return the time, the epoch if the store has not come back from a copy, never null
     */
    public Instant entriesSettledAt() {
        return settledAt(UPSTREAM_REWRITE_PERIOD);
    }

    /**
     * Returns whether a state that was read from the store may be older than what the store had acknowledged before.
     *
     * @param readAt when the state was read, not null
     * @return true if the store came back from a copy a few seconds before
     */
    public boolean isOutdated(final Instant readAt) {
        return readAt.isBefore(entriesSettledAt());
    }

    /**
     * Returns whether the operators may still write a routing table again that the copy lacks.
     *
     * @param now the present time, not null
     * @return true if the store came back from a copy a short time ago
     */
    public boolean mayLackTable(final Instant now) {
        return now.isBefore(settledAt(MAX_REWRITE_PERIOD));
    }

    private Instant settledAt(final Duration period) {
        return restoredAt.map(at -> at.plus(period)).orElse(Instant.EPOCH);
    }
}
