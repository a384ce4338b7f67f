package org.lacewingstep.upstream;

import java.time.Duration;

/** Computes how long a connection to an upstream may stay idle and still be used again. */
final class IdleLimit {
    /** Idle limit of a connection whose upstream sends no Keep-Alive timeout. */
    static final Duration DEFAULT = Duration.ofSeconds(2);

    /** Subtracted from the upstream's Keep-Alive timeout, so that a request arrives before the upstream closes. */
    private static final Duration MARGIN = Duration.ofMillis(700);

    private IdleLimit() {}

    /**
     * Computes the idle limit from a Keep-Alive header such as {@code timeout=5}, in seconds.
     *
     * @param header the value of the header, null if there is none
     * @return the idle limit, never null
     */
    static Duration of(final String header) {
        if (header == null) {
            return DEFAULT;
        }
        for (final String part : header.split(",")) {
            final String text = part.trim();
            if (text.matches("timeout=\\d{1,6}")) {
                final Duration stated = Duration.ofSeconds(Long.parseLong(text.substring("timeout=".length())));
                return stated.minus(MARGIN);
            }
        }
        return DEFAULT;
    }
}
