package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;

/** Something that happened and that controllers may act on. */
public sealed interface Event {
    /** The process has started. */
    record Started() implements Event {}

    /** The operator or the platform asks the process to stop. */
    record ShutdownRequested() implements Event {}

    /**
     * A timer has run out.
     *
     * @param key what it was for, not null
     */
    record TimerFired(TimerKey key) implements Event {}

    /**
     * A caller's request was read.
     *
     * @param demand what it asks for, not null
     */
    record RequestReceived(RequestDemand demand) implements Event {}

    /**
     * A caller has gone.
     *
     * @param request the request, not null
     * @param outputTokens tokens that the caller has received
     */
    record CallerLeft(RequestIdentifier request, long outputTokens) implements Event {}

    /**
     * An attempt at upstreams has ended.
     *
     * @param attempt the attempt, not null
     * @param result how it ended, not null
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptResult result) implements Event {}

    /**
     * The store's configuration was read.
     *
     * @param configuration the configuration, empty if it is no newer than the one in force
     * @param generation the generation of the head
     */
    record ConfigurationRead(Optional<Configuration> configuration, long generation) implements Event {}

    /**
     * The store's roster was read or written.
     *
     * @param roster the roster, not null
     * @param revision the store's revision
     */
    record RosterRead(Roster roster, long revision) implements Event {}

    /**
     * This process has written the roster.
     *
     * @param roster the roster written, not null
     * @param revision the store's revision
     * @param askedAt when the write was sent, not null
     */
    record RosterWritten(Roster roster, long revision, Instant askedAt) implements Event {}

    /** A write of the roster lost a race or its answer. */
    record RosterWriteFailed() implements Event {}

    /**
     * The lease was granted or renewed.
     *
     * @param leaseIdentifier the lease
     * @param askedAt when the renewal was asked for, not null
     */
    record LeaseRenewed(long leaseIdentifier, Instant askedAt) implements Event {}

    /** The lease has lapsed; a new one is needed. */
    record LeaseLost() implements Event {}

    /**
     * The processes that hold a lease in the store were read.
     *
     * @param leased the processes, not null
     * @param askedAt when they were asked for, not null
     */
    record LeasesRead(Set<Incarnation> leased, Instant askedAt) implements Event {}

    /**
     * The platform's list was read.
     *
     * @param listed the processes that it names, not null
     * @param askedAt when the list was asked for, not null
     */
    record InstanceListRead(Set<Incarnation> listed, Instant askedAt) implements Event {}

    /**
     * A peer's message arrived.
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
     * An upstream has reported its load.
     *
     * @param upstream the upstream, not null
     * @param report the report, not null
     */
    record LoadReported(UpstreamName upstream, LoadReport report) implements Event {}

    /**
     * A request needs tokens of its team.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param tokens the tokens
     */
    record TokensNeeded(RequestIdentifier request, TeamName team, long tokens) implements Event {}

    /**
     * A request has got the tokens it needs.
     *
     * @param request the request, not null
     * @param debits the debits, not null
     */
    record TokensGranted(RequestIdentifier request, TokenDebits debits) implements Event {}

    /**
     * A request gets no tokens.
     *
     * @param request the request, not null
     * @param refusal the reason, not null
     */
    record TokensRefused(RequestIdentifier request, Refusal refusal) implements Event {}

    /**
     * Tokens of a debit were not used.
     *
     * @param team the team, not null
     * @param debits the debits, not null
     * @param unspent the tokens
     */
    record TokensUnspent(TeamName team, TokenDebits debits, long unspent) implements Event {}

    /**
     * A request needs no tokens any more.
     *
     * @param request the request, not null
     */
    record TokensWithdrawn(RequestIdentifier request) implements Event {}

    /**
     * The store has told whether a claim stands for a request.
     *
     * @param request the request, not null
     * @param outcome what the store told, not null
     */
    record ClaimAnswered(RequestIdentifier request, ClaimOutcome outcome) implements Event {}

    /** What the store tells about a claim. */
    enum ClaimOutcome {
        GRANTED,
        HELD_BY_ANOTHER,
        UNKNOWN
    }

    /**
     * The configuration in force has changed.
     *
     * @param generation the generation
     */
    record ConfigurationAdopted(long generation) implements Event {}

    /**
     * A roster was adopted.
     *
     * @param previous the roster before, not null
     */
    record RosterAdopted(Roster previous) implements Event {}

    /**
     * The roster has settled.
     *
     * @param epoch the epoch
     */
    record RosterSettled(long epoch) implements Event {}

    /**
     * An attempt in a cell of which this process is home has ended at an upstream.
     *
     * @param upstream the upstream, not null
     * @param succeeded whether it served the attempt
     */
    record UpstreamServed(UpstreamName upstream, boolean succeeded) implements Event {}
}
