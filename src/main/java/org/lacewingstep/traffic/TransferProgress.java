package org.lacewingstep.traffic;

import java.time.Duration;
import java.time.Instant;

/**
 * The progress of a caller that sends or reads a large body.
 *
 * @param startedAt when the transfer began, not null
 * @param position a number that changes with each byte that is transferred
 * @param movedAt when the position changed last, not null
 */
record TransferProgress(Instant startedAt, long position, Instant movedAt) {
    /** Time without a byte after which a caller is cut. */
    private static final Duration MAX_SILENCE = Duration.ofSeconds(30);

    /** Time for a whole body while others are refused for lack of memory. */
    private static final Duration MAX_DURATION_UNDER_PRESSURE = Duration.ofSeconds(5);

    /**
     * Creates the progress at the start.
     *
     * @param now the present time, not null
     * @return the progress, never null
     */
    static TransferProgress start(final Instant now) {
        return new TransferProgress(now, 0, now);
    }

    /**
     * Updates the position.
     *
     * @param next the present position
     * @param now the present time, not null
     * @return the progress at {@code now}, never null
     */
    TransferProgress at(final long next, final Instant now) {
        return next == position ? this : new TransferProgress(startedAt, next, now);
    }

    /**
     * Returns whether the caller is cut.
     *
     * @param othersRefused whether other bodies were refused lately for lack of memory
     * @param now the present time, not null
     * @return true if the caller stands still, or is slow while others need the memory
     */
    boolean isTooSlow(final boolean othersRefused, final Instant now) {
        return Duration.between(movedAt, now).compareTo(MAX_SILENCE) >= 0
                || othersRefused && Duration.between(startedAt, now).compareTo(MAX_DURATION_UNDER_PRESSURE) >= 0;
    }
}
