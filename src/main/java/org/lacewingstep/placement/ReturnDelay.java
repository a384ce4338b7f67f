package org.lacewingstep.placement;

import java.time.Duration;

import com.google.common.hash.Hashing;
import org.lacewingstep.domain.RequestIdentifier;

/**
 * Computes after which time a refused caller should return. Answers bursts that last longer than a call may wait: a
 * caller that waited in vain returns when about as much time has passed again, and callers that were refused together
 * return one after the other.
 */
public final class ReturnDelay {
    /** Shortest delay, sent to callers that were refused without waiting. */
    static final Duration MIN_DELAY = Duration.ofMillis(300);

    /** Part of the caller's remaining time after which returning makes no sense, as no time would be left to serve. */
    private static final int REMAINING_TIME_DIVISOR = 3;

    /** Range over which the delays of callers are spread, as a fraction of the delay. */
    private static final double SPREAD = 0.5;

    private ReturnDelay() {}

    /**
     * Computes the delay.
     *
     * @param request the identifier of the refused request, which determines the place in the spread, not null
     * @param waited how long the request has waited, not null
     * @param remaining the time until the caller's deadline, not null
     * @return the delay, never null
     */
    public static Duration of(final RequestIdentifier request, final Duration waited, final Duration remaining) {
        final Duration delay = waited.compareTo(MIN_DELAY) > 0 ? waited : MIN_DELAY;
        final int hash =
                Hashing.murmur3_32().hashUnencodedChars(request.value()).asInt();
        final double place = (hash & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE;
        final Duration spread = Duration.ofMillis((long) (delay.toMillis() * (1 - SPREAD / 2 + SPREAD * place)));
        final Duration longest = remaining.dividedBy(REMAINING_TIME_DIVISOR);
        return spread.compareTo(longest) < 0 || longest.isNegative() ? spread : longest;
    }
}
