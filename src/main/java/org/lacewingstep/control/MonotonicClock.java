package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;

/** A clock that starts at the time of day and never goes back. */
public final class MonotonicClock {
    private final long startNanoseconds = System.nanoTime();
    private final Instant startTime = Instant.now();

    private Duration knownOffset = Duration.ZERO;

    /**
     * Reads the clock.
     *
     * @return the present time, never null
     */
    public Instant now() {
        return startTime.plusNanos(System.nanoTime() - startNanoseconds);
    }

    /**
     * Compares the time of day with this clock, which stands still while the machine is suspended.
     *
     * @return by how much the time of day has moved against this clock since the last call, negative for back
     */
    public synchronized Duration drift() {
        final Duration offset = Duration.between(now(), Instant.now());
        final Duration drift = offset.minus(knownOffset);
        knownOffset = offset;
        return drift;
    }
}
