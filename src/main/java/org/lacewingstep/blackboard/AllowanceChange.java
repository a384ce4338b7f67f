package org.lacewingstep.blackboard;

import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamName;

/** A change of what is left of a team's rate limit or of a service's retry budget. */
public sealed interface AllowanceChange {
    /**
     * A call that was admitted spends units of its team's rate limit and waits.
     *
     * @param team the team, not null
     * @param units the number of units
     */
    record Spent(TeamName team, long units) implements AllowanceChange {}

    /**
     * A call that has spent units no longer waits: it is sent for the first time, or ends unsent.
     *
     * @param team the team, not null
     * @param units the number of units that the call has spent
     */
    record Released(TeamName team, long units) implements AllowanceChange {}

    /**
     * A call has ended that no upstream has run.
     *
     * @param team the team, not null
     * @param units the number of units that the call had spent
     */
    record Returned(TeamName team, long units) implements AllowanceChange {}

    /**
     * A call is being sent to an upstream for the first time.
     *
     * @param service the service of the upstream, not null
     */
    record FirstSend(ServiceName service) implements AllowanceChange {}

    /**
     * It was decided that a call is sent again.
     *
     * @param service the service that the call is sent to, not null
     */
    record RetryReserved(ServiceName service) implements AllowanceChange {}

    /**
     * A call is being sent to an upstream again, as a retry that was reserved.
     *
     * @param service the service of the upstream, not null
     */
    record RetrySent(ServiceName service) implements AllowanceChange {}

    /**
     * A retry that was sent has not reached its upstream; it is reserved again.
     *
     * @param service the service of the upstream, not null
     */
    record RetryUnsent(ServiceName service) implements AllowanceChange {}

    /**
     * A retry that was reserved will not be sent.
     *
     * @param service the service that the call would have been sent to, not null
     */
    record RetryReturned(ServiceName service) implements AllowanceChange {}

    /**
     * An upstream has turned away a request that did not count as a retry when it was sent.
     *
     * @param service the service of the upstream, not null
     */
    record UncountedRetry(ServiceName service) implements AllowanceChange {}
}
