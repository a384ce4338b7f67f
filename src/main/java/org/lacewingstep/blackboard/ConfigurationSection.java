package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.Configuration;

/**
 * The configuration in force.
 *
 * @param inForce the configuration of the highest generation received, not null
 * @param confirmedAt when the store last confirmed to this process or to a peer that this generation is the highest;
 *     empty if never
 */
public record ConfigurationSection(Configuration inForce, Optional<Instant> confirmedAt) implements Section {
    /** The initial section of a process. */
    public static final ConfigurationSection INITIAL = new ConfigurationSection(Configuration.EMPTY, Optional.empty());
}
