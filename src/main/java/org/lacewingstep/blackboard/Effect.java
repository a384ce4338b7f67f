package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Upstream;

/** Something that an adapter has to do for the controllers. */
public sealed interface Effect {
    /**
     * Start a timer, in place of one with the same key.
     *
     * @param key what it is for, not null
     * @param due when it runs out, not null
     */
    record StartTimer(TimerKey key, Instant due) implements Effect {}

    /**
     * Tell the traffic side what to do for a request.
     *
     * @param request the request, not null
     * @param instruction what to do, not null
     */
    record Instruct(RequestIdentifier request, Instruction instruction) implements Effect {}

    /**
     * Send a message to a member.
     *
     * @param receiver the member, not null
     * @param message the message, not null
     */
    record SendToPeer(Member receiver, PeerMessage message) implements Effect {}

    /**
     * Read the configuration from the store if it is newer.
     *
     * @param generation the generation in force
     */
    record ReadConfiguration(long generation) implements Effect {}

    /** Read the roster, the leases and the platform's list. */
    record ReadPlatform() implements Effect {}

    /**
     * Renew the lease in the store.
     *
     * @param leaseIdentifier the lease, zero to ask for a new one
     */
    record RenewLease(long leaseIdentifier) implements Effect {}

    /**
     * Write the roster by compare-and-swap.
     *
     * @param roster the roster, not null
     * @param expectedRevision the revision that must be in the store, zero for none
     */
    record WriteRoster(Roster roster, long expectedRevision) implements Effect {}

    /**
     * Ask an upstream for its load.
     *
     * @param upstream the upstream, not null
     */
    record FetchLoad(Upstream upstream) implements Effect {}

    /**
     * Cancel an attempt at an upstream.
     *
     * @param upstream the upstream, not null
     * @param attempt the attempt, not null
     */
    record CancelAttempt(Upstream upstream, AttemptIdentifier attempt) implements Effect {}

    /**
     * Claim an idempotency key in the store for a request, if nobody has.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    record ClaimKey(RequestIdentifier request, TeamName team, IdempotencyKey key) implements Effect {}

    /**
     * Give a claim back, since the request was not run.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param key the key, not null
     */
    record ReleaseClaim(RequestIdentifier request, TeamName team, IdempotencyKey key) implements Effect {}

    /** End the process. */
    record StopProcess() implements Effect {}

    /** An effect of a process that serves the registry of a platform. */
    sealed interface SiteEffect extends Effect {}

    /**
     * Tell the traffic side what to do for a call.
     *
     * @param request the request, not null
     * @param instruction what to do, not null
     */
    record InstructCall(RequestIdentifier request, CallInstruction instruction) implements SiteEffect {}

    /** Read everything that concerns this process from the store of the platform. */
    record ReadStore() implements SiteEffect {}

    /**
     * Wait for changes in the store of the platform.
     *
     * @param revision the revision after which changes are wanted
     * @param longestWait how long to wait for one, not null
     */
    record AwaitStoreChanges(long revision, Duration longestWait) implements SiteEffect {}

    /**
     * Ask the store of the platform whether a routing table is still the newest.
     *
     * @param revision the revision of the table, zero for none
     */
    record ProveTable(long revision) implements SiteEffect {}

    /**
     * Renew the lease under which this instance is present in the store of the platform.
     *
     * @param self this instance, not null
     * @param lease the lease, zero to take a new one
     * @param life how long the lease lasts, not null
     */
    record RenewPresence(Member self, long lease, Duration life) implements SiteEffect {}

    /**
     * Write a decision to the log.
     *
     * @param decision the decision, not null
     */
    record Log(Decision decision) implements SiteEffect {}
}
