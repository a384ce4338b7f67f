package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Collections;
import java.util.Optional;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The upstreams in the platform's registry.
 *
 * @param upstreams the entry of each upstream, not null
 * @param pools the names of the upstreams of each service and role, in order, not null
 * @param revision the store's revision up to which changes were applied, empty before the first read and after changes
 *     were missed
 * @param checkedAt when changes up to the revision were received, or that there are none, not null
 * @param readAt when the last reading of all entries was requested, not null
 */
public record RegistrySection(
        PMap<UpstreamName, Entry> upstreams,
        PMap<Pool, PVector<UpstreamName>> pools,
        Optional<StoreRevision> revision,
        Instant checkedAt,
        Instant readAt)
        implements ServingSection {
    /** The initial section of a process. */
    public static final RegistrySection INITIAL = new RegistrySection(
            HashTreePMap.empty(), HashTreePMap.empty(), Optional.empty(), Instant.EPOCH, Instant.EPOCH);

    /**
     * Lists the upstreams of a service that have a role.
     *
     * @param service the service, not null
     * @param role the role, not null
     * @return the names in order, never null
     */
    public PVector<UpstreamName> pool(final ServiceName service, final UpstreamRole role) {
        return pools.getOrDefault(new Pool(service, role), TreePVector.empty());
    }

    /**
     * Adds the entry of an upstream, or replaces it.
     *
     * @param entry the entry, not null
     * @return the updated section, never null
     */
    public RegistrySection with(final Entry entry) {
        final UpstreamName name = entry.upstream().name();
        final Entry known = upstreams.get(name);
        final PMap<UpstreamName, Entry> next = upstreams.plus(name, entry);
        if (known != null && Pool.of(known.upstream()).equals(Pool.of(entry.upstream()))) {
            return new RegistrySection(next, pools, revision, checkedAt, readAt);
        }
        final PMap<Pool, PVector<UpstreamName>> others = known == null ? pools : poolsWithout(known.upstream());
        final Pool pool = Pool.of(entry.upstream());
        final PVector<UpstreamName> names = others.getOrDefault(pool, TreePVector.empty());
        final int position = -Collections.binarySearch(names, name) - 1;
        return new RegistrySection(next, others.plus(pool, names.plus(position, name)), revision, checkedAt, readAt);
    }

    /**
     * Removes the entry of an upstream.
     *
     * @param name the upstream, not null
     * @return the updated section, never null
     */
    public RegistrySection without(final UpstreamName name) {
        final Entry known = upstreams.get(name);
        return known == null
                ? this
                : new RegistrySection(
                        upstreams.minus(name), poolsWithout(known.upstream()), revision, checkedAt, readAt);
    }

    /**
     * Replaces the revision after all changes up to it were applied.
     *
     * @param next the store's revision up to which changes were applied
     * @param receivedAt when the changes were received, or that there are none, not null
     * @return the updated section, never null
     */
    public RegistrySection withRevision(final StoreRevision next, final Instant receivedAt) {
        return new RegistrySection(upstreams, pools, Optional.of(next), receivedAt, readAt);
    }

    /**
     * Records a reading of all entries.
     *
     * @param requestedAt when the reading was requested, not null
     * @return the updated section, never null
     */
    public RegistrySection withReading(final Instant requestedAt) {
        return new RegistrySection(upstreams, pools, revision, checkedAt, requestedAt);
    }

    /**
     * Removes the revision after changes were missed.
     *
     * @return the updated section, never null
     */
    public RegistrySection withoutRevision() {
        return new RegistrySection(upstreams, pools, Optional.empty(), checkedAt, readAt);
    }

    private PMap<Pool, PVector<UpstreamName>> poolsWithout(final RegisteredUpstream upstream) {
        final Pool pool = Pool.of(upstream);
        final PVector<UpstreamName> names = pools.get(pool);
        final PVector<UpstreamName> rest = names.minus(Collections.binarySearch(names, upstream.name()));
        return rest.isEmpty() ? pools.minus(pool) : pools.plus(pool, rest);
    }

    /**
     * An upstream and whether its entry in the registry is missing.
     *
     * @param upstream the upstream, not null
     * @param missingSince when the entry was first found missing, empty while the registry contains the entry
     */
    public record Entry(RegisteredUpstream upstream, Optional<Instant> missingSince) {}

    /**
     * The upstreams of a service that have the same role.
     *
     * @param service the service, not null
     * @param role the role, not null
     */
    public record Pool(ServiceName service, UpstreamRole role) {
        private static Pool of(final RegisteredUpstream upstream) {
            return new Pool(upstream.service(), upstream.role());
        }
    }
}
