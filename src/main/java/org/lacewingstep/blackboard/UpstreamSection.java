package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What this process knows of the upstreams whose cells it is home of.
 *
 * @param states the state of each upstream, not null
 */
public record UpstreamSection(PMap<UpstreamName, UpstreamState> states) implements Section {
    /** The section of a process that starts. */
    public static final UpstreamSection INITIAL = new UpstreamSection(HashTreePMap.empty());

    /**
     * Finds the state of an upstream.
     *
     * @param name the upstream, not null
     * @return the state, that of an unknown upstream if there is none
     */
    public UpstreamState find(final UpstreamName name) {
        return states.getOrDefault(name, UpstreamState.UNKNOWN);
    }

    /**
     * State of one upstream.
     *
     * @param report the last report, empty before the first
     * @param reportedAt when the report arrived, empty before the first
     * @param allowance how many attempts it may run at once while it is in a cold start
     * @param warm whether the cold start is over
     */
    public record UpstreamState(
            Optional<LoadReport> report, Optional<Instant> reportedAt, int allowance, boolean warm) {
        /** An upstream of which nothing is known; unknown means cold. */
        public static final UpstreamState UNKNOWN = new UpstreamState(Optional.empty(), Optional.empty(), 0, false);

        /**
         * Tells whether the upstream's state is fresh enough for new work.
         *
         * @param silenceLimit the longest silence, not null
         * @param now the present time, not null
         * @return true if it has reported recently
         */
        public boolean isReporting(final Duration silenceLimit, final Instant now) {
            return reportedAt.filter(at -> !now.isAfter(at.plus(silenceLimit))).isPresent();
        }
    }
}
