package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.ClaimOutcome;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.SitePolicy;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;

/** An occurrence that controllers may react to. */
public sealed interface Event {
    /** The process has started. */
    record Started() implements Event {}

    /** The operator or the platform requested the process to stop. */
    record ShutdownRequested() implements Event {}

    /**
     * A timer has expired.
     *
     * @param key the purpose of the timer, not null
     */
    record TimerFired(TimerKey key) implements Event {}

    /**
     * A caller's request was read.
     *
     * @param parameters the parameters of the request, not null
     */
    record RequestReceived(RequestParameters parameters) implements Event {}

    /**
     * A caller closed the connection before its request was complete.
     *
     * @param request the caller's request, not null
     * @param outputTokens tokens that the caller has received
     */
    record CallerDisconnected(RequestIdentifier request, long outputTokens) implements Event {}

    /**
     * An attempt at upstreams has ended.
     *
     * @param attempt the attempt, not null
     * @param result the result of the attempt, not null
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptResult result) implements Event {}

    /**
     * The configuration was read from the store.
     *
     * @param configuration the configuration, empty if the one in force is not older
     * @param generation the generation that the configuration's head names
     */
    record ConfigurationRead(Optional<Configuration> configuration, long generation) implements Event {}

    /**
     * The roster was read from the store.
     *
     * @param roster the roster, not null
     * @param revision the store's revision of the roster
     */
    record RosterRead(Roster roster, long revision) implements Event {}

    /**
     * This process wrote the roster to the store.
     *
     * @param roster the roster written, not null
     * @param revision the store's revision of the roster
     * @param requestedAt when this process sent the write, not null
     */
    record RosterWritten(Roster roster, long revision, Instant requestedAt) implements Event {}

    /** A write of the roster failed because another write came first or because no response arrived. */
    record RosterWriteFailed() implements Event {}

    /**
     * The store granted or renewed the lease of this process.
     *
     * @param leaseIdentifier the identifier of the lease
     * @param requestedAt when this process sent the request, not null
     */
    record LeaseRenewed(long leaseIdentifier, Instant requestedAt) implements Event {}

    /** The lease of this process has expired; a new lease is needed. */
    record LeaseLost() implements Event {}

    /**
     * The processes that hold a lease in the store were read.
     *
     * @param leased the processes that hold a lease, not null
     * @param requestedAt when this process sent the read, not null
     */
    record LeasesRead(Set<Incarnation> leased, Instant requestedAt) implements Event {}

    /**
     * The platform's list of instances was read.
     *
     * @param listed the processes in the list, not null
     * @param requestedAt when this process sent the read, not null
     */
    record InstanceListRead(Set<Incarnation> listed, Instant requestedAt) implements Event {}

    /**
     * A message from a peer arrived.
     *
     * @param sender the sending process, not null
     * @param message the message, not null
     */
    record PeerMessageReceived(Incarnation sender, PeerMessage message) implements Event {}

    /**
     * A peer could not be reached.
     *
     * @param peer the peer, not null
     */
    record PeerUnreachable(Incarnation peer) implements Event {}

    /**
     * An upstream reported its load.
     *
     * @param upstream the upstream, not null
     * @param report the load report, not null
     */
    record LoadReported(UpstreamName upstream, LoadReport report) implements Event {}

    /**
     * A request needs tokens from the budget of its team.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param tokens the number of tokens needed
     */
    record TokensNeeded(RequestIdentifier request, TeamName team, long tokens) implements Event {}

    /**
     * A request received all the tokens that it needs.
     *
     * @param request the request, not null
     * @param debits the debits from the team's budget, not null
     */
    record TokensGranted(RequestIdentifier request, TokenDebits debits) implements Event {}

    /**
     * A request was refused tokens.
     *
     * @param request the request, not null
     * @param refusal the reason for the caller, not null
     */
    record TokensRefused(RequestIdentifier request, Refusal refusal) implements Event {}

    /**
     * Tokens of a debit were not used and can be refunded.
     *
     * @param team the team, not null
     * @param debits the debits that the tokens were part of, not null
     * @param unspent the number of unused tokens
     */
    record TokensUnspent(TeamName team, TokenDebits debits, long unspent) implements Event {}

    /**
     * A request no longer needs tokens, so that the search for them ends.
     *
     * @param request the request, not null
     */
    record TokensWithdrawn(RequestIdentifier request) implements Event {}

    /**
     * The store reported whether the idempotency key of a request is claimed for that request.
     *
     * @param request the request, not null
     * @param outcome the result of the claim, not null
     */
    record ClaimCompleted(RequestIdentifier request, ClaimOutcome outcome) implements Event {}

    /**
     * The configuration in force has changed.
     *
     * @param generation the generation now in force
     */
    record ConfigurationAdopted(long generation) implements Event {}

    /**
     * A new roster was adopted.
     *
     * @param previous the roster in force before, not null
     */
    record RosterAdopted(Roster previous) implements Event {}

    /**
     * The roster has settled: every member acknowledged the epoch and the settle delay has passed.
     *
     * @param epoch the epoch that has settled
     */
    record RosterSettled(long epoch) implements Event {}

    /**
     * An attempt at an upstream has ended in a cell of which this process is the shard owner.
     *
     * @param upstream the upstream, not null
     * @param succeeded whether the upstream served the attempt
     */
    record UpstreamAttemptEnded(UpstreamName upstream, boolean succeeded) implements Event {}

    /**
     * The settings of a process that serves calls by the platform's registry were read.
     *
     * @param policy the policy of the site, not null
     * @param firstStart whether the whole site starts together with this process
     */
    record SiteConfigured(SitePolicy policy, boolean firstStart) implements Event {}

    /** The settings were reloaded, with the policy of the site. */
    record SiteReloaded(SitePolicy policy) implements Event {}

    /**
     * The clock jumped forward; the process may have been suspended in the skipped time.
     *
     * @param by the length of the jump, not null
     */
    record ClockJumped(Duration by) implements Event {}

    /**
     * All data of the store that concern this process were read.
     *
     * @param content the content of the store, as changes against an empty store, not null
     * @param revision the store's revision after which changes must be followed; all content was read at it or later
     * @param requestedAt when this process sent the read, not null
     */
    record StoreRead(List<StoreChange> content, StoreRevision revision, Instant requestedAt) implements Event {}

    /**
     * The store reported changes, or reported that nothing has changed.
     *
     * @param changes the changes in order, not null
     * @param revision the store's revision up to which all changes were received
     */
    record StoreChanged(List<StoreChange> changes, StoreRevision revision) implements Event {}

    /**
     * A watch for changes in the store failed.
     *
     * @param historyLost whether changes were missed, so that the whole content has to be read again
     * @param reason the cause of the failure, not null
     */
    record StoreWatchFailed(boolean historyLost, String reason) implements Event {}

    /** The store named another era than before, empty if the text in its response names none that can be read. */
    record StoreEraObserved(Optional<Long> era, String header) implements Event {}

    /** The store came back from a copy, which lacks what was written last until its writers write it again. */
    record StoreRestored(long era) implements Event {}

    /**
     * The store confirmed which routing table is the newest.
     *
     * @param newer the newest table, empty if the table that was checked is the newest
     * @param revision the store's revision of the newest table
     * @param requestedAt when this process sent the check, not null
     */
    record TableConfirmed(Optional<RoutingTable> newer, StoreRevision revision, Instant requestedAt) implements Event {}

    /**
     * The check with the store for a newer routing table failed.
     *
     * @param reason the cause of the failure, not null
     */
    record TableConfirmationFailed(String reason) implements Event {}

    /**
     * The store answered the renewal of the lease under which this instance is registered, or did not answer.
     *
     * @param renewed whether the lease was granted or renewed
     * @param lease the identifier of the lease, zero if it has expired
     */
    record PresenceRenewalEnded(boolean renewed, long lease) implements Event {}

    /**
     * The store responded to the write of a plan of engine roles, or the response was lost.
     *
     * @param plan the plan, not null
     * @param revision the store's revision of the plan, empty if the plan was refused or may not have been written
     * @param requestedAt when this process sent the write, not null
     */
    record RolePlanWriteEnded(RolePlan plan, Optional<StoreRevision> revision, Instant requestedAt) implements Event {}

    /**
     * A caller's call was read.
     *
     * @param parameters the parameters of the call, not null
     */
    record CallArrived(CallParameters parameters) implements Event {}

    /**
     * An instance reported its load, to this instance or through relays.
     *
     * @param origin the process that reported, not null
     * @param load the report, not null
     */
    record PeerLoadReported(Incarnation origin, PeerMessage.SiteLoad load) implements Event {}

    /**
     * Queued calls search for an upstream with capacity, one after the other.
     *
     * @param requests the identifiers of the calls in the order in which they are placed, not null
     */
    record QueuedCallsDue(List<RequestIdentifier> requests) implements Event {}

    /**
     * A caller closed the connection before the response to its call was complete.
     *
     * @param request the identifier of the call, not null
     */
    record CallAbandoned(RequestIdentifier request) implements Event {}

    /**
     * An attempt of a call has ended.
     *
     * @param request the identifier of the call, not null
     * @param attempt the number of the attempt, from one
     * @param result the result of the attempt, not null
     */
    record CallAttemptEnded(RequestIdentifier request, int attempt, CallResult result) implements Event {}

    /**
     * An upstream has processed the prompt of a call or failed to process it.
     *
     * @param request the identifier of the call, not null
     * @param attempt the number of the attempt, from one
     * @param result the result of the prompt processing, not null
     */
    record PrefillEnded(RequestIdentifier request, int attempt, CallResult result) implements Event {}

    /**
     * An upstream responded to a request to reserve memory for a call, or could not be reached.
     *
     * @param request the identifier of the call, not null
     * @param upstream the upstream, not null
     * @param result {@code Served} if the memory is reserved, else why it is not; not null
     */
    record ReservationCompleted(RequestIdentifier request, UpstreamName upstream, CallResult result) implements Event {}

    /** A response announced that its upstream is shutting down or must not be sent requests for a time. */
    record UpstreamNoticeReceived(UpstreamNotice notice) implements Event {}

    /** An upstream has finished work whose duration was measured. */
    record WorkMeasured(WorkMeasurement measurement) implements Event {}

    /**
     * An upstream has sent nothing for longer than usual; the attempt continues.
     *
     * @param upstream the upstream, not null
     * @param replaceable the attempt, empty if it is too early to send the call elsewhere
     */
    record UpstreamStalled(UpstreamName upstream, Optional<AttemptIdentifier> replaceable) implements Event {}

    /**
     * A call is being sent to an upstream and occupies memory there.
     *
     * @param upstream the upstream, not null
     * @param tokens the memory that the call needs at the end of its output, in tokens
     */
    record UpstreamOccupied(RegisteredUpstream upstream, long tokens) implements Event {}

    /**
     * A call sent to an upstream has ended and its memory is no longer counted there.
     *
     * @param upstream the upstream, not null
     * @param tokens the memory that was counted for the call when it was sent, in tokens
     * @param result the result of the call, empty if the caller abandoned it
     */
    record UpstreamReleased(UpstreamName upstream, long tokens, Optional<CallResult> result) implements Event {}

    /** The other instances need a report of this instance soon. */
    record LoadReportRequested() implements Event {}

    /**
     * A call changes what is left of a limit.
     *
     * @param change the change, not null
     */
    record AllowanceChanged(AllowanceChange change) implements Event {}

    /** Something happened that concerns the rollouts of versions. */
    record RolloutAdvanced(RolloutOccurrence occurrence) implements Event {}
}
