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
 * What the platform shows of the members.
 *
 * @param leases the last sight of the leases, empty before the first
 * @param listed the last sight of the platform's list, empty before the first
 * @param missing since when leases and list have both missed a member, not null
 */
public record PlatformView(Optional<Sighting> leases, Optional<Sighting> listed, PMap<Incarnation, Instant> missing) {
    /** Nothing seen. */
    public static final PlatformView EMPTY = new PlatformView(Optional.empty(), Optional.empty(), HashTreePMap.empty());

    /**
     * Notes which members are missing; a sight that is too old counts for nothing.
     *
     * @param roster the roster, not null
     * @param now the present time, not null
     * @param viewLimit how long a sight counts, not null
     * @return the view, never null
     */
    public PlatformView observe(final Roster roster, final Instant now, final Duration viewLimit) {
        PMap<Incarnation, Instant> next = HashTreePMap.empty();
        if (isFresh(leases, now, viewLimit) && isFresh(listed, now, viewLimit)) {
            for (final Member member : roster.members()) {
                final Incarnation process = member.incarnation();
                if (!names(leases, process) && !names(listed, process)) {
                    next = next.plus(process, missing.getOrDefault(process, now));
                }
            }
        }
        return new PlatformView(leases, listed, next);
    }

    /**
     * Starts the observation of missing members anew.
     *
     * @return the view, never null
     */
    public PlatformView restart() {
        return new PlatformView(leases, listed, HashTreePMap.empty());
    }

    /**
     * Replaces the sight of the leases.
     *
     * @param sighting the sight, not null
     * @return the view, never null
     */
    public PlatformView withLeases(final Sighting sighting) {
        return new PlatformView(Optional.of(sighting), listed, missing);
    }

    /**
     * Replaces the sight of the list.
     *
     * @param sighting the sight, not null
     * @return the view, never null
     */
    public PlatformView withList(final Sighting sighting) {
        return new PlatformView(leases, Optional.of(sighting), missing);
    }

    private static boolean isFresh(final Optional<Sighting> sighting, final Instant now, final Duration limit) {
        return sighting.filter(seen -> !now.isAfter(seen.at().plus(limit))).isPresent();
    }

    private static boolean names(final Optional<Sighting> sighting, final Incarnation process) {
        return sighting.filter(seen -> seen.processes().contains(process)).isPresent();
    }

    /**
     * A sight of processes at the platform.
     *
     * @param processes the processes, not null
     * @param at when the platform was asked, not null
     */
    public record Sighting(Set<Incarnation> processes, Instant at) {
        /** Copies the set. */
        public Sighting {
            processes = Set.copyOf(processes);
        }
    }
}
