package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamRole;

/** An action that a controller requests and that an adapter performs. */
public sealed interface Effect {
    /**
     * Starts a timer and replaces a running timer with the same key.
     *
     * @param key the purpose of the timer, not null
     * @param due when the timer expires, not null
     */
    record StartTimer(TimerKey key, Instant due) implements Effect {}

    /**
     * Sends an instruction for a request to the traffic threads.
     *
     * @param request the request, not null
     * @param instruction the instruction, not null
     */
    record Instruct(RequestIdentifier request, Instruction instruction) implements Effect {}

    /**
     * Sends a message to a member.
     *
     * @param receiver the member to send to, not null
     * @param message the message, not null
     */
    record SendToPeer(Member receiver, PeerMessage message) implements Effect {}

    /**
     * Reads the configuration from the store if the store has a newer one.
     *
     * @param generation the generation in force
     */
    record ReadConfiguration(long generation) implements Effect {}

    /** Reads the roster, the leases and the platform's list of instances. */
    record ReadMembership() implements Effect {}

    /**
     * Renews the lease of this process in the store.
     *
     * @param leaseIdentifier the identifier of the lease, zero to request a new lease
     */
    record RenewLease(long leaseIdentifier) implements Effect {}

    /**
     * Writes the roster by compare-and-swap.
     *
     * @param roster the roster to write, not null
     * @param expectedRevision the revision of the roster that must be in the store, zero if there must be none
     */
    record WriteRoster(Roster roster, long expectedRevision) implements Effect {}

    /**
     * Requests the load report of an upstream.
     *
     * @param upstream the upstream, not null
     */
    record FetchLoad(Upstream upstream) implements Effect {}

    /**
     * Cancels an attempt at an upstream.
     *
     * @param upstream the upstream, not null
     * @param attempt the attempt, not null
     */
    record CancelAttempt(Upstream upstream, AttemptIdentifier attempt) implements Effect {}

    /**
     * Claims an idempotency key in the store for a request, unless another request holds the claim.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the idempotency key, not null
     */
    record ClaimKey(RequestIdentifier request, TeamName team, IdempotencyKey key) implements Effect {}

    /**
     * Releases the claim of an idempotency key because the request was not run.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the idempotency key, not null
     */
    record ReleaseClaim(RequestIdentifier request, TeamName team, IdempotencyKey key) implements Effect {}

    /** Ends this process. */
    record StopProcess() implements Effect {}

    /** An effect that only a process which serves calls by the platform's registry requests. */
    sealed interface PlatformEffect extends Effect {}

    /**
     * Sends an instruction for a call to the traffic threads.
     *
     * @param request the identifier of the call, not null
     * @param instruction the instruction, not null
     */
    record InstructCall(RequestIdentifier request, CallInstruction instruction) implements PlatformEffect {}

    /** Reads all data that concern this process from the store of the platform. */
    record ReadStore() implements PlatformEffect {}

    /**
     * Waits for changes in the store of the platform.
     *
     * @param revision the store's revision after which changes are reported
     * @param waitLimit maximum time to wait for a change, not null
     */
    record AwaitStoreChanges(StoreRevision revision, Duration waitLimit) implements PlatformEffect {}

    /**
     * Checks with the store of the platform whether a routing table is still the newest.
     *
     * @param revision the store's revision of the table, with the number zero for no table, not null
     */
    record ConfirmTable(StoreRevision revision) implements PlatformEffect {}

    /**
     * Renews the lease under which this instance is registered in the store of the platform.
     *
     * @param self this instance, not null
     * @param lease the identifier of the lease, zero to request a new lease
     * @param lifetime the time to live of the lease, not null
     */
    record RenewPresence(Member self, long lease, Duration lifetime) implements PlatformEffect {}

    /**
     * Writes a plan of engine roles by compare-and-swap.
     *
     * @param plan the plan, not null
     * @param expectedRevision the revision of the plan that must be in the store, with the number zero if there must be
     *     none, not null
     */
    record WriteRolePlan(RolePlan plan, StoreRevision expectedRevision) implements PlatformEffect {}

    /**
     * Writes the plan of a rollout and the state that the operators read, both or neither, by compare-and-swap.
     *
     * @param plan the plan, not null
     * @param expectedRevision the revision of the plan that must be in the store, with the number zero if there must be
     *     none, not null
     */
    record WriteRolloutPlan(RolloutPlan plan, StoreRevision expectedRevision) implements PlatformEffect {}

    /**
     * Orders an engine to change its role.
     *
     * @param engine the engine, not null
     * @param role the role that the engine is to take, not null
     * @param holder the instance that sends the order, not null
     * @param fence the fencing number of the order; engines reject a number lower than one they have seen
     */
    record OrderRole(RegisteredUpstream engine, UpstreamRole role, InstanceName holder, long fence)
            implements PlatformEffect {}

    /**
     * Writes a decision to the log.
     *
     * @param decision the decision, not null
     */
    record Log(Decision decision) implements PlatformEffect {}
}
