package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The roles that engines have been ordered to take, and how full the engines of each role are.
 *
 * @param plan the plan in the store, empty for none
 * @param revision the store's revision of the plan, with the number zero for none, not null
 * @param observedAt when this instance first saw the plan, not null
 * @param writing the plan that this instance is writing to the store, empty for none
 * @param failedAt when the store last refused or did not answer the write of a plan, not null
 * @param occupancies how full the engines of each service are, not null
 */
public record RoleSection(
        Optional<RolePlan> plan,
        StoreRevision revision,
        Instant observedAt,
        Optional<RolePlan> writing,
        Instant failedAt,
        PMap<ServiceName, Occupancy> occupancies)
        implements ServingSection {
    /** The initial section of a process. */
    public static final RoleSection INITIAL = new RoleSection(
            Optional.empty(), StoreRevision.NONE, Instant.EPOCH, Optional.empty(), Instant.EPOCH, HashTreePMap.empty());

    /** Time after which a change that an engine has not made is given up; longer than an engine needs for a change. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(15);

    /**
     * Returns whether an engine is about to change its role and should receive no requests for its present one.
     *
     * @param engine the engine, not null
     * @param now the present time, not null
     * @return true if a change is planned and neither made nor given up
     */
    public boolean isChanging(final RegisteredUpstream engine, final Instant now) {
        return plan.isPresent()
                && plan.get().isPending(engine)
                && observedAt.plus(CHANGE_TIMEOUT).isAfter(now);
    }

    /**
     * Moving averages of how full the engines of a service are.
     *
     * @param prefill the mean number of prompts at an engine that processes prompts
     * @param decode the mean fraction of the memory in use at an engine that generates output
     * @param samples the number of samples in the averages
     */
    public record Occupancy(double prefill, double decode, int samples) {
        /** The averages without a sample. */
        public static final Occupancy NONE = new Occupancy(0, 0, 0);
    }
}
