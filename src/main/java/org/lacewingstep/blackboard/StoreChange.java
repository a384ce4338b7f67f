package org.lacewingstep.blackboard;

import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;

/** A change in the store of the platform. */
public sealed interface StoreChange {
    /**
     * The operators wrote a routing table.
     *
     * @param table the routing table, not null
     * @param revision the store's revision of the table
     */
    record TableWritten(RoutingTable table, StoreRevision revision) implements StoreChange {}

    /**
     * The operators took a failure domain out of service.
     *
     * @param domain the failure domain, not null
     */
    record DomainOutOfService(FailureDomainName domain) implements StoreChange {}

    /**
     * The operators returned a failure domain to service.
     *
     * @param domain the failure domain, not null
     */
    record DomainInService(FailureDomainName domain) implements StoreChange {}

    /**
     * An upstream wrote its entry in the registry.
     *
     * @param upstream the upstream that the entry describes, not null
     */
    record UpstreamRegistered(RegisteredUpstream upstream) implements StoreChange {}

    /**
     * The entry of an upstream was removed from the registry.
     *
     * @param upstream the name of the upstream, not null
     */
    record UpstreamUnregistered(UpstreamName upstream) implements StoreChange {}

    /**
     * An instance registered itself under a lease.
     *
     * @param member the instance, not null
     */
    record InstanceRegistered(Member member) implements StoreChange {}

    /**
     * The lease of an instance has ended.
     *
     * @param instance the name of the instance, not null
     */
    record InstanceUnregistered(InstanceName instance) implements StoreChange {}

    /**
     * An instance wrote a plan of engine roles.
     *
     * @param plan the plan, not null
     * @param revision the store's revision of the plan
     */
    record RolePlanChanged(RolePlan plan, StoreRevision revision) implements StoreChange {}

    /**
     * The operators ordered a rollout.
     *
     * @param order the order, not null
     */
    record RolloutOrdered(RolloutOrder order) implements StoreChange {}

    /**
     * The operators removed the order of a rollout.
     *
     * @param service the service, not null
     */
    record RolloutWithdrawn(ServiceName service) implements StoreChange {}

    /**
     * An instance wrote the plan of a rollout.
     *
     * @param plan the plan, not null
     * @param revision the store's revision of the plan
     */
    record RolloutPlanChanged(RolloutPlan plan, StoreRevision revision) implements StoreChange {}
}
