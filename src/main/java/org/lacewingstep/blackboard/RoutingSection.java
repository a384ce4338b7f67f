package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.StoreRevision;

/**
 * The routing table in force and the store's last confirmation that the table is the newest.
 *
 * @param table the routing table of the highest revision received, not null
 * @param revision the store's revision of the table, with the number zero for none, not null
 * @param confirmedAt when the check that last confirmed the table as the newest was sent, empty if no confirmation is
 *     valid
 * @param checksFrom checks that were sent earlier confirm nothing, because this process was suspended since, not null
 * @param takenOut failure domains that get no new requests, not null
 */
public record RoutingSection(
        RoutingTable table,
        StoreRevision revision,
        Optional<Instant> confirmedAt,
        Instant checksFrom,
        Set<FailureDomainName> takenOut)
        implements ServingSection {
    /** The initial section of a process. */
    public static final RoutingSection INITIAL =
            new RoutingSection(RoutingTable.EMPTY, StoreRevision.NONE, Optional.empty(), Instant.EPOCH, Set.of());

    /** Copies the set. */
    public RoutingSection {
        takenOut = Set.copyOf(takenOut);
    }

    /**
     * Checks whether the store confirmed the table as the newest recently enough.
     *
     * @param maxAge maximum age of the confirmation, not null
     * @param now the present time, not null
     * @return true if there is a confirmation that is not older
     */
    public boolean isConfirmedWithin(final Duration maxAge, final Instant now) {
        return confirmedAt.isPresent() && !confirmedAt.get().plus(maxAge).isBefore(now);
    }
}
