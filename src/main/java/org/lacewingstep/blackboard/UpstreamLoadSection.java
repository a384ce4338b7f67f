package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What this instance has at upstreams and how they served it.
 *
 * @param loads the load of each upstream, not null
 */
public record UpstreamLoadSection(PMap<UpstreamName, Load> loads) implements ServingSection {
    /** The section of a process that starts. */
    public static final UpstreamLoadSection INITIAL = new UpstreamLoadSection(HashTreePMap.empty());

    /**
     * Gets the load of an upstream.
     *
     * @param upstream the upstream, not null
     * @return the load, never null
     */
    public Load of(final UpstreamName upstream) {
        return loads.getOrDefault(upstream, Load.NONE);
    }

    /**
     * The load of one upstream.
     *
     * @param startedAtMillis the start of the upstream that the figures hold for
     * @param running attempts of this instance that have not ended
     * @param arrivals when this instance sent requests in the last second, oldest first, not null
     * @param failureShare moving share of attempts that failed, 0 to 1
     * @param failuresInRow attempts that failed since the last one that was served
     * @param avoidUntil when it may get work again, not null
     */
    public record Load(
            long startedAtMillis,
            int running,
            PVector<Instant> arrivals,
            double failureShare,
            int failuresInRow,
            Instant avoidUntil) {
        /** The load of an upstream that was sent nothing. */
        public static final Load NONE = new Load(0, 0, TreePVector.empty(), 0, 0, Instant.EPOCH);

        private static final Duration SECOND = Duration.ofSeconds(1);

        /**
         * Counts the requests sent in the last second.
         *
         * @param now the present time, not null
         * @return the number
         */
        public long recentArrivals(final Instant now) {
            final Instant oldest = now.minus(SECOND);
            return arrivals.stream().filter(sent -> sent.isAfter(oldest)).count();
        }
    }
}
