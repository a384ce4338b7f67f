package org.lacewingstep.placement;

import java.time.Instant;
import java.util.List;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;

/**
 * The upstreams that are examined for a call, in the order of a pseudo-random permutation that is walked and never
 * stored: positions follow each other by a step that has no common divisor with the number of upstreams.
 *
 * @param pools the upstreams to draw from, not null
 * @param alternatives the number of upstreams in the pools
 * @param first the position of the first one
 * @param step the distance to the next position, positive unless there are no upstreams
 * @param size the number of upstreams to examine, not more than there are
 */
public record UpstreamDraw(List<? extends List<UpstreamName>> pools, int alternatives, int first, int step, int size) {
    /**
     * Draws all upstreams in the order of the pools.
     *
     * @param pools the upstreams to draw from, not null
     * @return the draw, never null
     */
    public static UpstreamDraw all(final List<? extends List<UpstreamName>> pools) {
        final int alternatives = count(pools);
        return new UpstreamDraw(pools, alternatives, 0, 1, alternatives);
    }

    /**
     * Draws a bounded number of upstreams, other ones for each call and each time.
     *
     * @param pools the upstreams to draw from, not null
     * @param request the identifier of the call, not null
     * @param now the present time, not null
     * @param limit the most upstreams to examine, positive
     * @return the draw, never null
     */
    public static UpstreamDraw of(
            final List<? extends List<UpstreamName>> pools,
            final RequestIdentifier request,
            final Instant now,
            final int limit) {
        final int alternatives = count(pools);
        if (alternatives < 2) {
            return all(pools);
        }
        final long seed = hash(request.value().hashCode(), Long.hashCode(now.toEpochMilli()));
        final int first = (int) Long.remainderUnsigned(seed, alternatives);
        int step = 1 + (int) Long.remainderUnsigned(hash((int) seed, (int) (seed >>> 32)), alternatives - 1);
        while (greatestCommonDivisor(step, alternatives) > 1) {
            step = step % (alternatives - 1) + 1;
        }
        return new UpstreamDraw(pools, alternatives, first, step, Math.min(limit, alternatives));
    }

    /**
     * Returns an upstream to examine.
     *
     * @param index the index in the order in which the upstreams are examined, from zero, below the size
     * @return the name, never null
     */
    public UpstreamName get(final int index) {
        int position = (int) ((first + (long) index * step) % alternatives);
        for (final List<UpstreamName> pool : pools) {
            if (position < pool.size()) {
                return pool.get(position);
            }
            position -= pool.size();
        }
        throw new IndexOutOfBoundsException(index);
    }

    /**
     * Mixes two numbers into one whose bits each depend on all bits of both, by the finaliser of SplitMix64.
     *
     * @param high the one number
     * @param low the other number
     * @return the hash
     */
    public static long hash(final int high, final int low) {
        long mixed = ((long) high << Integer.SIZE ^ low & 0xffffffffL) + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    private static int count(final List<? extends List<UpstreamName>> pools) {
        int count = 0;
        for (final List<UpstreamName> pool : pools) {
            count += pool.size();
        }
        return count;
    }

    private static int greatestCommonDivisor(final int first, final int second) {
        return second == 0 ? first : greatestCommonDivisor(second, first % second);
    }
}
