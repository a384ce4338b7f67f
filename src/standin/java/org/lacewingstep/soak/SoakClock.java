package org.lacewingstep.soak;

/** The monotonic clock of a soak. */
final class SoakClock {
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

    private SoakClock() {}

    /** Returns the current time of the monotonic clock in milliseconds. */
    static long now() {
        return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
    }
}
