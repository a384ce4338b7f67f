package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RoutingTable;

/**
 * The routing table in force and what proves that it is the newest.
 *
 * @param table the highest version seen, not null
 * @param revision the store's revision of that version, zero for none
 * @param confirmedAt when the store was asked for the reading that last proved the version, empty if none stands
 * @param takenOut failure domains that get no new work, not null
 */
public record RoutingSection(
        RoutingTable table, long revision, Optional<Instant> confirmedAt, Set<FailureDomainName> takenOut)
        implements ServingSection {
    /** The section of a process that starts. */
    public static final RoutingSection INITIAL = new RoutingSection(RoutingTable.EMPTY, 0, Optional.empty(), Set.of());

    /** Copies the set. */
    public RoutingSection {
        takenOut = Set.copyOf(takenOut);
    }

    /**
     * Tells whether the version was proved recently.
     *
     * @param limit the longest age of the proof, not null
     * @param now the present time, not null
     * @return true if the proof is no older
     */
    public boolean isProved(final Duration limit, final Instant now) {
        return confirmedAt.isPresent() && !confirmedAt.get().plus(limit).isBefore(now);
    }
}
