package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Roster;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The observations of the members in the leases and in the platform's list of instances.
 *
 * @param leases the last observation of the leases, empty before the first
 * @param listed the last observation of the platform's list, empty before the first
 * @param missing since when a member has been absent from both leases and list, not null
 */
public record PlatformView(
        Optional<PlatformObservation> leases,
        Optional<PlatformObservation> listed,
        PMap<Incarnation, Instant> missing) {
    /** The view before the first observation. */
    public static final PlatformView EMPTY = new PlatformView(Optional.empty(), Optional.empty(), HashTreePMap.empty());

    /**
     * Updates which members are missing. Without recent observations of both leases and list, no member counts as
     * missing.
     *
     * @param roster the roster, not null
     * @param now the present time, not null
     * @param maxAge maximum age of an observation, not null
     * @return the updated view, never null
     */
    public PlatformView updateMissing(final Roster roster, final Instant now, final Duration maxAge) {
        PMap<Incarnation, Instant> next = HashTreePMap.empty();
        if (isFresh(leases, now, maxAge) && isFresh(listed, now, maxAge)) {
            for (final Member member : roster.members()) {
                final Incarnation process = member.incarnation();
                if (!contains(leases, process) && !contains(listed, process)) {
                    next = next.plus(process, missing.getOrDefault(process, now));
                }
            }
        }
        return new PlatformView(leases, listed, next);
    }

    /**
     * Resets the times since which members are missing.
     *
     * @return the updated view, never null
     */
    public PlatformView clearMissing() {
        return new PlatformView(leases, listed, HashTreePMap.empty());
    }

    /**
     * Replaces the observation of the leases.
     *
     * @param observation the new observation, not null
     * @return the updated view, never null
     */
    public PlatformView withLeases(final PlatformObservation observation) {
        return new PlatformView(Optional.of(observation), listed, missing);
    }

    /**
     * Replaces the observation of the platform's list.
     *
     * @param observation the new observation, not null
     * @return the updated view, never null
     */
    public PlatformView withList(final PlatformObservation observation) {
        return new PlatformView(leases, Optional.of(observation), missing);
    }

    private static boolean isFresh(
            final Optional<PlatformObservation> observation, final Instant now, final Duration maxAge) {
        return observation.filter(seen -> !now.isAfter(seen.at().plus(maxAge))).isPresent();
    }

    private static boolean contains(final Optional<PlatformObservation> observation, final Incarnation process) {
        return observation.filter(seen -> seen.processes().contains(process)).isPresent();
    }

    /**
     * The processes that a read of the leases or of the platform's list returned.
     *
     * @param processes the processes that the read returned, not null
     * @param at when the read was sent, not null
     */
    public record PlatformObservation(Set<Incarnation> processes, Instant at) {
        /** Copies the set. */
        public PlatformObservation {
            processes = Set.copyOf(processes);
        }
    }
}
