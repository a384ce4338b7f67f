package org.lacewingstep.blackboard;

import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.UpstreamName;

/** Something that was changed in the store of the platform. */
public sealed interface StoreChange {
    /**
     * The operators wrote a routing table.
     *
     * @param table the table, not null
     * @param revision the store's revision of it
     */
    record TableWritten(RoutingTable table, long revision) implements StoreChange {}

    /**
     * A failure domain was taken out.
     *
     * @param domain the failure domain, not null
     */
    record DomainTakenOut(FailureDomainName domain) implements StoreChange {}

    /**
     * A failure domain was taken back in.
     *
     * @param domain the failure domain, not null
     */
    record DomainBack(FailureDomainName domain) implements StoreChange {}

    /**
     * An upstream described itself.
     *
     * @param upstream the upstream, not null
     */
    record UpstreamSeen(RegisteredUpstream upstream) implements StoreChange {}

    /**
     * The entry of an upstream is gone.
     *
     * @param upstream the upstream, not null
     */
    record UpstreamMissing(UpstreamName upstream) implements StoreChange {}

    /**
     * An instance has taken a lease.
     *
     * @param member the instance, not null
     */
    record InstancePresent(Member member) implements StoreChange {}

    /**
     * The lease of an instance is gone.
     *
     * @param instance the instance, not null
     */
    record InstanceMissing(InstanceName instance) implements StoreChange {}
}
