package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The upstreams in the platform's registry.
 *
 * @param upstreams the entry of each upstream, not null
 * @param revision the store's revision up to which changes were applied, empty before the first read and after changes
 *     were missed
 */
public record RegistrySection(PMap<UpstreamName, Entry> upstreams, Optional<Long> revision) implements ServingSection {
    /** The initial section of a process. */
    public static final RegistrySection INITIAL = new RegistrySection(HashTreePMap.empty(), Optional.empty());

    /**
     * An upstream and whether its entry in the registry is missing.
     *
     * @param upstream the upstream, not null
     * @param missingSince when the entry was first found missing, empty while the registry contains the entry
     */
    public record Entry(RegisteredUpstream upstream, Optional<Instant> missingSince) {}
}
