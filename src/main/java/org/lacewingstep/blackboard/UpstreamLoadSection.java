package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamUse;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The load of this instance and of its peers at each upstream, and each upstream's recent results.
 *
 * @param loads the load of this instance at each upstream, not null
 * @param peers the last report of each other instance, not null
 * @param peerUses the sum of these reports for each upstream that they name, not null
 * @param oldestPeer a time before which none of these reports arrived, not null
 * @param broadcast the next report to the other instances, not null
 */
public record UpstreamLoadSection(
        PMap<UpstreamName, Load> loads,
        PMap<InstanceName, PeerLoad> peers,
        PMap<UpstreamName, UpstreamUse> peerUses,
        Instant oldestPeer,
        Broadcast broadcast)
        implements ServingSection {
    /** The initial section of a process. */
    public static final UpstreamLoadSection INITIAL = new UpstreamLoadSection(
            HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), Instant.MAX, Broadcast.NONE);

    /**
     * Returns the load of this instance at an upstream.
     *
     * @param upstream the upstream, not null
     * @return the load, never null
     */
    public Load of(final UpstreamName upstream) {
        return loads.getOrDefault(upstream, Load.NONE);
    }

    /**
     * Computes the use of an upstream by this instance and by all instances with a recent report.
     *
     * @param upstream the upstream, not null
     * @param oldest only reports received after this time are counted, not null
     * @return the sum of the uses, never null
     */
    public UpstreamUse use(final UpstreamName upstream, final Instant oldest) {
        UpstreamUse sum = of(upstream).running().plus(peerUses.getOrDefault(upstream, UpstreamUse.NONE));
        if (!oldestPeer.isAfter(oldest)) {
            for (final PeerLoad peer : peers.values()) {
                if (!peer.at().isAfter(oldest)) {
                    sum = sum.minus(peer.uses().getOrDefault(upstream, UpstreamUse.NONE));
                }
            }
        }
        return sum;
    }

    /**
     * Replaces the report of another instance.
     *
     * @param instance the other instance, not null
     * @param report the report, not null
     * @return the updated section, never null
     */
    public UpstreamLoadSection withReport(final InstanceName instance, final PeerLoad report) {
        final Map<UpstreamName, UpstreamUse> previous =
                peers.containsKey(instance) ? peers.get(instance).uses() : Map.of();
        PMap<UpstreamName, UpstreamUse> sums = peerUses;
        for (final Map.Entry<UpstreamName, UpstreamUse> use : report.uses().entrySet()) {
            final UpstreamUse before = previous.getOrDefault(use.getKey(), UpstreamUse.NONE);
            sums = withChange(sums, use.getKey(), before, use.getValue());
        }
        for (final Map.Entry<UpstreamName, UpstreamUse> use : previous.entrySet()) {
            if (!report.uses().containsKey(use.getKey())) {
                sums = withChange(sums, use.getKey(), use.getValue(), UpstreamUse.NONE);
            }
        }
        final Instant oldest = report.at().isBefore(oldestPeer) ? report.at() : oldestPeer;
        return new UpstreamLoadSection(loads, peers.plus(instance, report), sums, oldest, broadcast);
    }

    /**
     * Removes the report of an instance.
     *
     * @param instance the instance, not null
     * @return the updated section, never null
     */
    public UpstreamLoadSection withoutReport(final InstanceName instance) {
        final PeerLoad report = peers.get(instance);
        if (report == null) {
            return this;
        }
        PMap<UpstreamName, UpstreamUse> sums = peerUses;
        for (final Map.Entry<UpstreamName, UpstreamUse> use : report.uses().entrySet()) {
            sums = withChange(sums, use.getKey(), use.getValue(), UpstreamUse.NONE);
        }
        return new UpstreamLoadSection(loads, peers.minus(instance), sums, oldestPeer, broadcast);
    }

    /**
     * Removes the reports that are no longer counted, unless all are known to be recent.
     *
     * @param oldest reports received until this time are removed, not null
     * @return the updated section, never null
     */
    public UpstreamLoadSection withoutReportsUntil(final Instant oldest) {
        if (oldestPeer.isAfter(oldest)) {
            return this;
        }
        UpstreamLoadSection next = this;
        Instant earliest = Instant.MAX;
        for (final Map.Entry<InstanceName, PeerLoad> peer : peers.entrySet()) {
            final Instant at = peer.getValue().at();
            if (!at.isAfter(oldest)) {
                next = next.withoutReport(peer.getKey());
            } else if (at.isBefore(earliest)) {
                earliest = at;
            }
        }
        return new UpstreamLoadSection(next.loads, next.peers, next.peerUses, earliest, broadcast);
    }

    /**
     * Replaces the load of this instance at each upstream.
     *
     * @param next the loads, not null
     * @return the updated section, never null
     */
    public UpstreamLoadSection withLoads(final PMap<UpstreamName, Load> next) {
        return new UpstreamLoadSection(next, peers, peerUses, oldestPeer, broadcast);
    }

    /**
     * Replaces the next report.
     *
     * @param next the next report, not null
     * @return the updated section, never null
     */
    public UpstreamLoadSection withBroadcast(final Broadcast next) {
        return new UpstreamLoadSection(loads, peers, peerUses, oldestPeer, next);
    }

    /**
     * The next report to the other instances.
     *
     * @param due when a report is due, not null
     * @param usesDue when the uses of upstreams are due; a report before repeats the last ones, not null
     * @param uses the uses in the last report, not null
     */
    public record Broadcast(Instant due, Instant usesDue, Map<UpstreamName, UpstreamUse> uses) {
        /** No report is due. */
        public static final Broadcast NONE = new Broadcast(Instant.MAX, Instant.MAX, Map.of());

        /** Copies the map. */
        public Broadcast {
            uses = Map.copyOf(uses);
        }

        /**
         * Returns whether the report precedes the one in which the uses of upstreams are due.
         *
         * @return true if the report repeats the last uses
         */
        public boolean isEarly() {
            return due.isBefore(usesDue);
        }
    }

    private static PMap<UpstreamName, UpstreamUse> withChange(
            final PMap<UpstreamName, UpstreamUse> sums,
            final UpstreamName upstream,
            final UpstreamUse before,
            final UpstreamUse after) {
        if (before.equals(after)) {
            return sums;
        }
        final UpstreamUse sum =
                sums.getOrDefault(upstream, UpstreamUse.NONE).minus(before).plus(after);
        return sum.equals(UpstreamUse.NONE) ? sums.minus(upstream) : sums.plus(upstream, sum);
    }

    /**
     * The last report of another instance about its use of the upstreams.
     *
     * @param at when the report arrived, not null
     * @param uses the other instance's use of each upstream, not null
     */
    public record PeerLoad(Instant at, Map<UpstreamName, UpstreamUse> uses) {}

    /**
     * The load of this instance at one upstream and the upstream's recent results.
     *
     * @param startedAtMillis when the upstream process that the figures belong to started, in milliseconds since the
     *     epoch
     * @param running running attempts of this instance at the upstream, not null
     * @param arrivals when this instance sent each request of the last second, oldest first, not null
     * @param failureShare moving average of the share of failed attempts, 0 to 1
     * @param failuresInRow number of failed attempts since the last served attempt
     * @param refusalsInRow number of refused attempts since the last served attempt
     * @param avoidUntil end of the back-off, from which the upstream may be chosen again, not null
     */
    public record Load(
            long startedAtMillis,
            UpstreamUse running,
            PVector<Instant> arrivals,
            double failureShare,
            int failuresInRow,
            int refusalsInRow,
            Instant avoidUntil) {
        /** The load of an upstream to which nothing was sent. */
        public static final Load NONE = startedAt(0);

        /**
         * Creates the load of an upstream that has started or restarted.
         *
         * @param startedAtMillis when the upstream process started, in milliseconds since the epoch
         * @return the load, never null
         */
        public static Load startedAt(final long startedAtMillis) {
            return new Load(startedAtMillis, UpstreamUse.NONE, TreePVector.empty(), 0, 0, 0, Instant.EPOCH);
        }

        private static final Duration ARRIVAL_WINDOW = Duration.ofSeconds(1);

        /**
         * Copies this load with other running attempts.
         *
         * @param next running attempts, not null
         * @param nextArrivals when this instance sent each request of the last second, oldest first, not null
         * @return the copy, never null
         */
        public Load withRunning(final UpstreamUse next, final PVector<Instant> nextArrivals) {
            return new Load(
                    startedAtMillis, next, nextArrivals, failureShare, failuresInRow, refusalsInRow, avoidUntil);
        }

        /**
         * Copies this load with other figures of the recent results.
         *
         * @param nextShare moving average of the share of failed attempts, 0 to 1
         * @param nextFailures number of failed attempts since the last served attempt
         * @param nextRefusals number of refused attempts since the last served attempt
         * @param nextAvoidUntil end of the back-off, not null
         * @return the copy, never null
         */
        public Load withHealth(
                final double nextShare, final int nextFailures, final int nextRefusals, final Instant nextAvoidUntil) {
            return new Load(startedAtMillis, running, arrivals, nextShare, nextFailures, nextRefusals, nextAvoidUntil);
        }

        /**
         * Copies this load with a back-off that ends no earlier than the present one.
         *
         * @param until earliest end of the back-off, not null
         * @return the copy, never null
         */
        public Load withBackOff(final Instant until) {
            return withHealth(
                    failureShare, failuresInRow, refusalsInRow, until.isAfter(avoidUntil) ? until : avoidUntil);
        }

        /**
         * Counts the requests sent in the last second.
         *
         * @param now the present time, not null
         * @return the number of requests
         */
        public long recentArrivals(final Instant now) {
            final Instant oldest = now.minus(ARRIVAL_WINDOW);
            return arrivals.stream().filter(sent -> sent.isAfter(oldest)).count();
        }
    }
}
