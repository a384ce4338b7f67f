package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The load reports and cold-start states of the upstreams in cells of which this process is the shard owner.
 *
 * @param states the state of each upstream, not null
 */
public record UpstreamSection(PMap<UpstreamName, UpstreamState> states) implements Section {
    /** The initial section of a process. */
    public static final UpstreamSection INITIAL = new UpstreamSection(HashTreePMap.empty());

    /**
     * Finds the state of an upstream.
     *
     * @param name the upstream, not null
     * @return the state, {@code UNKNOWN} if the section has none for the upstream; never null
     */
    public UpstreamState find(final UpstreamName name) {
        return states.getOrDefault(name, UpstreamState.UNKNOWN);
    }

    /**
     * The state of one upstream.
     *
     * @param report the last load report, empty before the first
     * @param reportedAt when the last load report arrived, empty before the first
     * @param allowance number of concurrent attempts allowed while the upstream is in a cold start
     * @param warm whether the cold start has ended
     */
    public record UpstreamState(
            Optional<LoadReport> report, Optional<Instant> reportedAt, int allowance, boolean warm) {
        /** The state of an upstream without load reports or attempts, which counts as cold. */
        public static final UpstreamState UNKNOWN = new UpstreamState(Optional.empty(), Optional.empty(), 0, false);

        /**
         * Checks whether the last load report is recent enough for new requests.
         *
         * @param timeout the time without a load report after which the upstream gets no new requests, not null
         * @param now the present time, not null
         * @return true if a load report arrived within the timeout
         */
        public boolean isReporting(final Duration timeout, final Instant now) {
            return reportedAt.filter(at -> !now.isAfter(at.plus(timeout))).isPresent();
        }
    }
}
