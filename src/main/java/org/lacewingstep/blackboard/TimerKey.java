package org.lacewingstep.blackboard;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;

/** The purpose of a timer; at most one timer runs for each key. */
public sealed interface TimerKey {
    /** Reads the configuration's head. */
    record ConfigurationRead() implements TimerKey {}

    /** Sends heartbeats to the peers and checks the membership. */
    record Heartbeat() implements TimerKey {}

    /** Renews the lease and reads the roster, the leases and the platform's list. */
    record LeaseRenewal() implements TimerKey {}

    /** Requests the load reports of the upstreams. */
    record LoadReports() implements TimerKey {}

    /** Checks whether the process may become ready or exit. */
    record LifecycleCheck() implements TimerKey {}

    /**
     * Serves token requests that wait at a slot of a team's budget.
     *
     * @param slot the slot, not null
     */
    record TeamBudgetCheck(TeamBudgetSection.SlotKey slot) implements TimerKey {}

    /**
     * Ends the wait for a response to a token request.
     *
     * @param request the caller's request, not null
     * @param query the number of the token request
     */
    record TokenResponseTimeout(RequestIdentifier request, long query) implements TimerKey {}

    /**
     * Checks a request that waits for a placement response or for a reachable shard owner.
     *
     * @param attempt the attempt, not null
     */
    record PlacementCheck(AttemptIdentifier attempt) implements TimerKey {}

    /**
     * Ends a request at its deadline.
     *
     * @param request the request, not null
     */
    record RequestDeadline(RequestIdentifier request) implements TimerKey {}

    /** Refuses requests that wait too long for capacity in a cell, and audits reservations. */
    record CellCheck() implements TimerKey {}

    /** Checks with the store whether the routing table is still the newest. */
    record TableConfirmation() implements TimerKey {}

    /** Starts the next watch for changes in the store, after a pause between watches or after a failure. */
    record StoreWatch() implements TimerKey {}

    /** Renews the lease under which this instance is registered. */
    record Presence() implements TimerKey {}

    /** Reports this instance's use of the upstreams to the other instances. */
    record LoadBroadcast() implements TimerKey {}

    /** Passes load reports on and sends the next query to the relay. */
    record RelayTick() implements TimerKey {}

    /** Samples how full the engines of each role are. */
    record RoleSample() implements TimerKey {}

    /** Judges the versions that are rolled out. */
    record RolloutCheck() implements TimerKey {}

    /**
     * Ends a call at its deadline.
     *
     * @param request the identifier of the call, not null
     */
    record CallDeadline(RequestIdentifier request) implements TimerKey {}

    /**
     * Searches for upstreams with capacity for the queued calls of a service.
     *
     * @param service the service, not null
     */
    record CallQueue(ServiceName service) implements TimerKey {}
}
