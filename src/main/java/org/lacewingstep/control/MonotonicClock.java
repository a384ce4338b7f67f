package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;

/** A clock that starts at the wall-clock time and never runs backwards. */
public final class MonotonicClock {
    private final long startNanoseconds = System.nanoTime();
    private final Instant startTime = Instant.now();

    private Duration lastOffset = Duration.ZERO;

    /**
     * Returns the current time of this clock.
     *
     * @return the current time, never null
     */
    public Instant now() {
        return startTime.plusNanos(System.nanoTime() - startNanoseconds);
    }

    /**
     * Computes the drift of the wall clock against this clock since the previous call. The drift is not zero after the
     * wall clock was adjusted or the machine was suspended, because this clock stops during a suspension.
     *
     * @return the drift, negative if the wall clock fell behind this clock, never null
     */
    public synchronized Duration drift() {
        final Duration offset = Duration.between(now(), Instant.now());
        final Duration drift = offset.minus(lastOffset);
        lastOffset = offset;
        return drift;
    }
}
