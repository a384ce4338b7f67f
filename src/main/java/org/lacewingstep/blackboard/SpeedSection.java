package org.lacewingstep.blackboard;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The measured speeds of upstreams.
 *
 * @param own what this instance has measured, not null
 * @param reports the last accepted sums of each other instance, not null
 * @param merged the sums of this instance and the others, not null
 * @param services the sums over all upstreams of each service, not null
 */
public record SpeedSection(
        PMap<SpeedKey, SpeedSum> own,
        PMap<Incarnation, PMap<SpeedKey, SpeedSum>> reports,
        PMap<SpeedKey, SpeedSum> merged,
        PMap<ServiceWork, SpeedSum> services)
        implements LearnedSection {
    /** The initial section of a process. */
    public static final SpeedSection INITIAL =
            new SpeedSection(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * One kind of work at all upstreams of a service.
     *
     * @param service the service, not null
     * @param kind the kind of work, not null
     */
    public record ServiceWork(ServiceName service, WorkKind kind) {}
}
