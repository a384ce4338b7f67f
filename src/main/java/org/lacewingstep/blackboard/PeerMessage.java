package org.lacewingstep.blackboard;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.ServiceUrgency;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;

/** A message from one instance to another. */
public sealed interface PeerMessage {
    /**
     * Reports the state of the sender; sent to every other member at a fixed interval.
     *
     * @param number the number of the heartbeat at the sender, increasing
     * @param echo the number of the last heartbeat that the sender received from the receiver, zero if none
     * @param epoch the epoch of the roster that the sender has adopted
     * @param settledEpoch the last epoch that has settled at the sender
     * @param generation the generation of the configuration in force at the sender
     * @param confirmedAge time since the store last confirmed the sender's configuration, empty if never
     */
    record Heartbeat(
            long number, long echo, long epoch, long settledEpoch, long generation, Optional<Duration> confirmedAge)
            implements PeerMessage {}

    /**
     * Acknowledges an epoch: the sender acts on this epoch and no longer on an earlier one.
     *
     * @param epoch the acknowledged epoch
     * @param reservations the sender's reservations in cells of which the receiver is now the shard owner, not null
     */
    record EpochAcknowledged(long epoch, List<Reservation> reservations) implements PeerMessage {}

    /**
     * Requests tokens from the shard owner of a team's budget.
     *
     * @param query the number of the request at the sender
     * @param team the team, not null
     * @param slot the slot of the team's budget
     * @param tokens the number of tokens needed
     * @param partial whether fewer tokens than needed may be granted
     * @param waitLimit how long the request may wait at the shard owner, not null
     */
    record TokenRequest(long query, TeamName team, int slot, long tokens, boolean partial, Duration waitLimit)
            implements PeerMessage {}

    /**
     * Responds to a request for tokens.
     *
     * @param query the number of the request at the receiver
     * @param verdict whether tokens were granted, not null
     * @param tokens the number of tokens granted
     * @param debit the number of the debit in the slot
     * @param retryAfter time after which another request makes sense, not null
     */
    record TokenResponse(long query, TokenVerdict verdict, long tokens, long debit, Duration retryAfter)
            implements PeerMessage {}

    /** The result of a request for tokens. */
    enum TokenVerdict {
        GRANTED,
        NOT_OWNER,
        REFUSED
    }

    /**
     * Refunds unspent tokens to a slot of a team's budget.
     *
     * @param team the team, not null
     * @param slot the slot of the team's budget
     * @param debit the number of the debit in the slot
     * @param tokens the number of tokens to refund
     */
    record TokenRefund(TeamName team, int slot, long debit, long tokens) implements PeerMessage {}

    /**
     * Transfers the level of a budget's slot to the slot's new shard owner.
     *
     * @param epoch the epoch from which the receiver is the shard owner
     * @param team the team, not null
     * @param slot the slot of the team's budget
     * @param level the level of the slot, in tokens
     */
    record BudgetHandover(long epoch, TeamName team, int slot, double level) implements PeerMessage {}

    /**
     * Requests capacity from the shard owner of a cell.
     *
     * @param attempt the attempt that needs the capacity, not null
     * @param cell the cell, not null
     * @param team the team that pays, empty on routes open to all
     * @param tokens prompt and permitted output, in tokens
     * @param pieces number of pieces of memory needed
     * @param avoided upstreams that failed the request before, not null
     * @param waitLimit how long the request may wait in the queue of the shard owner, not null
     */
    record PlacementRequest(
            AttemptIdentifier attempt,
            CellName cell,
            Optional<TeamName> team,
            long tokens,
            int pieces,
            Set<UpstreamName> avoided,
            Duration waitLimit)
            implements PeerMessage {}

    /**
     * Responds to a request for capacity.
     *
     * @param attempt the attempt, not null
     * @param verdict whether capacity was reserved, not null
     * @param reservation the reserved capacity, empty if none was reserved
     */
    record PlacementResponse(AttemptIdentifier attempt, PlacementVerdict verdict, Optional<Reservation> reservation)
            implements PeerMessage {}

    /** The result of a request for capacity. */
    enum PlacementVerdict {
        RESERVED,
        NO_CAPACITY,
        NOT_OWNER,
        QUEUED
    }

    /**
     * Releases reserved capacity, or withdraws a request for capacity.
     *
     * @param attempt the attempt, not null
     * @param cell the cell, not null
     * @param failedUpstream the upstream that failed the attempt, empty if none did
     * @param completed whether the caller received the complete response
     */
    record PlacementRelease(
            AttemptIdentifier attempt, CellName cell, Optional<UpstreamName> failedUpstream, boolean completed)
            implements PeerMessage {}

    /**
     * Queries the process that owns some reservations about which of them are still in use.
     *
     * @param attempts the attempts of the reservations, not null
     */
    record ReservationAudit(List<AttemptIdentifier> attempts) implements PeerMessage {}

    /**
     * Responds to an audit of reservations.
     *
     * @param alive the attempts that still run, not null
     * @param ended the attempts that have ended, not null
     */
    record ReservationStatus(List<AttemptIdentifier> alive, List<AttemptIdentifier> ended) implements PeerMessage {}

    /** Requests the roster that the receiver has adopted. */
    record RosterRequest() implements PeerMessage {}

    /**
     * Contains the roster that the sender has adopted.
     *
     * @param roster the roster, not null
     * @param revision the store's revision of the roster
     */
    record RosterCopy(Roster roster, long revision) implements PeerMessage {}

    /** Requests the configuration in force at the receiver. */
    record ConfigurationRequest() implements PeerMessage {}

    /**
     * Contains the configuration in force at the sender.
     *
     * @param configuration the configuration, not null
     */
    record ConfigurationCopy(Configuration configuration) implements PeerMessage {}

    /**
     * Requests a confirmation of the routing table and the changes of the platform's store from a relay.
     *
     * @param number the number of the query at the sender, increasing
     * @param revision the store's revision up to which the sender knows all changes
     */
    record StoreQuery(long number, StoreRevision revision) implements PeerMessage {}

    /**
     * Answers a query with what the store has confirmed after the query arrived.
     *
     * @param number the number of the query at the receiver
     * @param tableRevision the store's revision of the newest routing table
     * @param revision the store's revision up to which the changes are complete
     * @param complete whether the changes contain all changes after the revision in the query
     * @param changes the changes other than routing tables, in order, not null
     */
    record StoreUpdate(
            long number,
            StoreRevision tableRevision,
            StoreRevision revision,
            boolean complete,
            List<StoreChange> changes)
            implements PeerMessage {
        /** Copies the list. */
        public StoreUpdate {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Passes on load reports of several instances.
     *
     * @param reports the last report of each process that has reported since the sender's last digest, not null
     */
    record LoadDigest(Map<Incarnation, SiteLoad> reports) implements PeerMessage {
        /** Copies the map. */
        public LoadDigest {
            reports = Map.copyOf(reports);
        }
    }

    /**
     * Announces upstreams that have begun to leave or whose registration has ended; sent by relays to all instances as
     * soon as the store says so, since updates wait for the next confirmation of the routing table.
     *
     * @param revision the store's revision up to which the sender knows all changes
     * @param changes the registrations that say that the upstreams leave, and those that have ended, not null
     */
    record UpstreamDepartures(StoreRevision revision, List<StoreChange> changes) implements PeerMessage {
        /** Copies the changes. */
        public UpstreamDepartures {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Reports the sender's use of each upstream, what teams have spent at the sender, which parts of prompts may crash
     * upstreams and which upstreams leave.
     *
     * @param uses the sender's running requests at each upstream, not null
     * @param spent units that each team with recent spending has spent at the sender since the sender started, not null
     * @param prompts the evidence on parts of prompts that are suspected of crashing upstreams, not null
     * @param leaving the starts of upstreams that have announced that they leave, not null
     * @param queued the demand at the sender for services whose calls differ in urgency, not null
     * @param speeds the durations of work that the sender has measured lately, not null
     * @param answers what the sender has counted since the orders of the rollouts that it knows, not null
     */
    record SiteLoad(
            Map<UpstreamName, UpstreamUse> uses,
            Map<TeamName, Double> spent,
            Map<PromptPart, PromptEvidence> prompts,
            Set<UpstreamStart> leaving,
            Map<ServiceUrgency, Demand> queued,
            Map<SpeedKey, SpeedSum> speeds,
            Map<AnswerGroup, AnswerCounts> answers)
            implements PeerMessage {
        /** Copies the collections. */
        public SiteLoad {
            uses = Map.copyOf(uses);
            spent = Map.copyOf(spent);
            prompts = Map.copyOf(prompts);
            leaving = Set.copyOf(leaving);
            queued = Map.copyOf(queued);
            speeds = Map.copyOf(speeds);
            answers = Map.copyOf(answers);
        }

        /**
         * Creates a report without demand, measured speeds and counts of rollouts.
         *
         * @param uses the sender's running requests at each upstream, not null
         * @param spent units that each team with recent spending has spent at the sender, not null
         * @param prompts the evidence on parts of prompts that are suspected of crashing upstreams, not null
         * @param leaving the starts of upstreams that have announced that they leave, not null
         */
        public SiteLoad(
                final Map<UpstreamName, UpstreamUse> uses,
                final Map<TeamName, Double> spent,
                final Map<PromptPart, PromptEvidence> prompts,
                final Set<UpstreamStart> leaving) {
            this(uses, spent, prompts, leaving, Map.of(), Map.of(), Map.of());
        }
    }
}
