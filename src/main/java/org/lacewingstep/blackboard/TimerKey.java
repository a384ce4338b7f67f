package org.lacewingstep.blackboard;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;

/** What a timer is for; one timer runs for each key. */
public sealed interface TimerKey {
    /** Reads the configuration's head. */
    record ConfigurationRead() implements TimerKey {}

    /** Sends heartbeats and checks the membership. */
    record Heartbeat() implements TimerKey {}

    /** Renews the lease and reads roster and list. */
    record PlatformRenewal() implements TimerKey {}

    /** Asks the upstreams for their load. */
    record LoadReports() implements TimerKey {}

    /** Looks whether the process may become ready or exit. */
    record LifecycleCheck() implements TimerKey {}

    /**
     * Serves questions that wait for tokens.
     *
     * @param slot the slot, not null
     */
    record TeamBudgetCheck(TeamBudgetSection.SlotKey slot) implements TimerKey {}

    /**
     * Ends the wait for an answer on tokens.
     *
     * @param request the request, not null
     * @param question the question's number
     */
    record TokenAnswer(RequestIdentifier request, long question) implements TimerKey {}

    /**
     * Looks after a request that waits for room.
     *
     * @param attempt the attempt, not null
     */
    record PlacementCheck(AttemptIdentifier attempt) implements TimerKey {}

    /**
     * Ends a request that is too late.
     *
     * @param request the request, not null
     */
    record RequestDeadline(RequestIdentifier request) implements TimerKey {}

    /** Refuses requests that wait too long in cells, and audits reservations. */
    record CellCheck() implements TimerKey {}

    /** Asks the store whether the routing table is still the newest. */
    record TableProof() implements TimerKey {}

    /** Reads the store again after a failure. */
    record StoreFeed() implements TimerKey {}

    /** Renews the lease under which this instance is present. */
    record Presence() implements TimerKey {}

    /** Tells the other instances what this one has at upstreams. */
    record LoadBroadcast() implements TimerKey {}

    /**
     * Ends a call that is too late.
     *
     * @param request the request, not null
     */
    record CallDeadline(RequestIdentifier request) implements TimerKey {}

    /**
     * Looks for an upstream for a call that waits.
     *
     * @param request the request, not null
     */
    record CallQueue(RequestIdentifier request) implements TimerKey {}
}
