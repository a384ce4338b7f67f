package org.lacewingstep.control;

import java.time.Instant;

/** A clock that starts at the time of day and never goes back. */
public final class MonotonicClock {
    private final long startNanoseconds = System.nanoTime();
    private final Instant startTime = Instant.now();

    /**
     * Reads the clock.
     *
     * @return the present time, never null
     */
    public Instant now() {
        return startTime.plusNanos(System.nanoTime() - startNanoseconds);
    }
}
