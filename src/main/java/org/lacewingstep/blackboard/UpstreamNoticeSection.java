package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What upstreams have announced to this instance in their responses, by start: neither a registry entry nor another
 * start of an upstream changes it.
 *
 * @param announcements the announcements of each start of an upstream, not null
 */
public record UpstreamNoticeSection(PMap<UpstreamStart, Announcement> announcements) implements LearnedSection {
    /** The initial section of a process. */
    public static final UpstreamNoticeSection INITIAL = new UpstreamNoticeSection(HashTreePMap.empty());

    /**
     * Returns what a start of an upstream has announced.
     *
     * @param start the start of the upstream, not null
     * @return the announcements, never null
     */
    public Announcement of(final UpstreamStart start) {
        return announcements.getOrDefault(start, Announcement.NONE);
    }

    /**
     * Counts the starts of upstreams that leave, until their announcements are dropped.
     *
     * @return the number of starts
     */
    public long leavingUpstreams() {
        return announcements.values().stream()
                .filter(announced -> announced.leavingSince().isPresent())
                .count();
    }

    /**
     * Counts the starts of upstreams whose pause is running.
     *
     * @param now the present time, not null
     * @return the number of starts
     */
    public long pausedUpstreams(final Instant now) {
        return announcements.values().stream()
                .filter(announced -> announced.pausedUntil().isAfter(now))
                .count();
    }

    /**
     * Counts the starts of upstreams that limit the rate of requests.
     *
     * @return the number of starts
     */
    public long limitedUpstreams() {
        return announcements.values().stream()
                .filter(announced -> announced.requestsPerSecond().isPresent())
                .count();
    }

    /**
     * What a start of an upstream has announced.
     *
     * @param leavingSince when this instance learned that the upstream leaves, empty if it does not
     * @param pausedUntil end of the pause that the upstream announced, not null
     * @param requestsPerSecond the rate that the upstream takes from all instances, empty if its last response named
     *     none
     */
    public record Announcement(
            Optional<Instant> leavingSince, Instant pausedUntil, Optional<Double> requestsPerSecond) {
        /** The announcements of an upstream that has made none. */
        public static final Announcement NONE = new Announcement(Optional.empty(), Instant.EPOCH, Optional.empty());
    }
}
