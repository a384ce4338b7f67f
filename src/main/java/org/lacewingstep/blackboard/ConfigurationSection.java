package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.Configuration;

/**
 * The configuration in force.
 *
 * @param inForce the highest generation seen, not null
 * @param confirmedAt when the store last confirmed it as the highest, here or at a peer; empty if it never did
 */
public record ConfigurationSection(Configuration inForce, Optional<Instant> confirmedAt) implements Section {
    /** The section of a process that starts. */
    public static final ConfigurationSection INITIAL = new ConfigurationSection(Configuration.EMPTY, Optional.empty());
}
