package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.blackboard.MembershipSection.Agreement;
import org.lacewingstep.blackboard.MembershipSection.MembershipStatus;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerView.PeerState;
import org.lacewingstep.blackboard.PlatformView.PlatformObservation;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Shard;

/**
 * Maintains the roster and this process's membership: joins and leaves, removes missing members, acknowledges epochs
 * and tracks until when this process may act as a shard owner.
 */
public final class MembershipController implements Controller<MembershipSection> {
    /** Number of lease renewals and reads of the platform during one lease duration. */
    private static final int RENEWALS_PER_LEASE = 4;

    @Override
    public Class<MembershipSection> section() {
        return MembershipSection.class;
    }

    @Override
    public Outcome<MembershipSection> step(final Blackboard board, final Event event, final Instant now) {
        final MembershipSection section = board.membership();
        return switch (event) {
            case Event.Started() -> start(board, now);
            case Event.TimerFired(TimerKey.LeaseRenewal()) -> renew(board, now);
            case Event.TimerFired(TimerKey.Heartbeat()) -> processHeartbeatTimer(board, now);
            case Event.RosterRead(Roster roster, long revision) -> adopt(board, section, roster, revision, now);
            case Event.RosterWritten(Roster roster, long revision, Instant requestedAt) ->
                applyWrittenRoster(board, roster, revision, requestedAt, now);
            case Event.RosterWriteFailed() -> retryWrite(section);
            case Event.LeaseRenewed(long lease, Instant requestedAt) -> applyLease(board, lease, requestedAt);
            case Event.LeaseLost() -> replaceLease(section);
            case Event.LeasesRead(var leased, Instant requestedAt) ->
                Outcome.of(
                        section.with(section.platformView().withLeases(new PlatformObservation(leased, requestedAt))));
            case Event.InstanceListRead(var listed, Instant requestedAt) ->
                applyInstanceList(board, new PlatformObservation(listed, requestedAt));
            case Event.PeerUnreachable(Incarnation peer) ->
                Outcome.of(section.with(section.peerView().withLastMessage(peer, Optional.empty())));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(section);
        };
    }

    private static Outcome<MembershipSection> start(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(new TimerKey.Heartbeat(), now));
        renewLease(board, builder, now);
        return builder.outcome(board.membership());
    }

    private static Outcome<MembershipSection> renew(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        renewLease(board, builder, now);
        return builder.outcome(board.membership());
    }

    private static void renewLease(final Blackboard board, final OutcomeBuilder builder, final Instant now) {
        builder.add(new Effect.RenewLease(board.membership().status().leaseIdentifier()));
        builder.add(new Effect.ReadMembership());
        builder.add(new Effect.StartTimer(new TimerKey.LeaseRenewal(), now.plus(renewalInterval(board))));
    }

    private static Duration renewalInterval(final Blackboard board) {
        return board.identity().policy().leaseDuration().dividedBy(RENEWALS_PER_LEASE);
    }

    /**
     * Records the lease. Only the renewal of the lease held before extends the time for which this process may act as a
     * shard owner, since a new lease does not show that the old one never lapsed.
     */
    private static Outcome<MembershipSection> applyLease(
            final Blackboard board, final long lease, final Instant requestedAt) {
        final MembershipSection section = board.membership();
        final MembershipStatus status = section.status().withLease(lease);
        if (lease != section.status().leaseIdentifier()) {
            return Outcome.of(section.with(status));
        }
        return Outcome.of(section.with(
                status.extendIfUnbroken(requestedAt, board.identity().policy().fencingDelay())));
    }

    private static Outcome<MembershipSection> replaceLease(final MembershipSection section) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.RenewLease(0));
        return builder.outcome(section.with(section.status().withLease(0)));
    }

    private static Outcome<MembershipSection> applyInstanceList(
            final Blackboard board, final PlatformObservation observation) {
        final MembershipSection section = board.membership();
        final MembershipSection next = section.with(section.platformView().withList(observation));
        if (!observation.processes().contains(board.identity().incarnation())) {
            return Outcome.of(next);
        }
        return Outcome.of(next.with(next.status()
                .extendIfUnbroken(observation.at(), board.identity().policy().fencingDelay())));
    }

    private static Outcome<MembershipSection> processHeartbeatTimer(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.StartTimer(
                new TimerKey.Heartbeat(), now.plus(board.identity().policy().heartbeatInterval())));
        final MembershipSection previous = board.membership();
        final Duration observationLifetime = renewalInterval(board).multipliedBy(2);
        MembershipSection section = previous.with(previous.peerView().countHeartbeat(now));
        section = section.with(section.platformView().updateMissing(section.roster(), now, observationLifetime));
        section = settle(board, section, builder, now);
        sendHeartbeats(board, section, builder, now);
        section = correctRoster(board, section, builder, now);
        return builder.outcome(section);
    }

    private static void sendHeartbeats(
            final Blackboard board, final MembershipSection section, final OutcomeBuilder builder, final Instant now) {
        final Incarnation self = board.identity().incarnation();
        if (!section.roster().contains(self)) {
            return;
        }
        for (final Member member : section.others(self)) {
            final PeerState peer = section.peerView().find(member.incarnation());
            if (peer.settledEpoch() < section.roster().epoch()) {
                builder.add(new Effect.SendToPeer(member, acknowledgement(board, section, member)));
            }
            builder.add(new Effect.SendToPeer(member, heartbeat(board, section, peer, now)));
        }
    }

    private static PeerMessage heartbeat(
            final Blackboard board, final MembershipSection section, final PeerState peer, final Instant now) {
        return new PeerMessage.Heartbeat(
                section.peerView().heartbeats(),
                peer.lastNumber(),
                section.roster().epoch(),
                section.agreement().settledEpoch(),
                board.configuration().inForce().generation(),
                board.configuration().confirmedAt().map(at -> Duration.between(at, now)));
    }

    /** Acknowledges the epoch and reports this process's reservations in the cells that the receiver owns. */
    private static PeerMessage acknowledgement(
            final Blackboard board, final MembershipSection section, final Member receiver) {
        final List<Reservation> reservations = HeldReservations.of(board.requests()).stream()
                .filter(held -> section.isShardOwner(new Shard.CellShard(held.cell()), receiver.incarnation()))
                .toList();
        return new PeerMessage.EpochAcknowledged(section.roster().epoch(), reservations);
    }

    private static MembershipSection settle(
            final Blackboard board, final MembershipSection section, final OutcomeBuilder builder, final Instant now) {
        final Agreement agreement = section.agreement();
        if (agreement.settled() || !isAcknowledged(board, section)) {
            return section;
        }
        final Instant acknowledgedAt = agreement.acknowledgedAt().orElse(now);
        final boolean settled =
                !now.isBefore(acknowledgedAt.plus(board.identity().policy().settleDelay()));
        if (settled) {
            builder.add(new Event.RosterSettled(agreement.roster().epoch()));
        }
        return section.with(
                new Agreement(agreement.roster(), agreement.revision(), Optional.of(acknowledgedAt), settled));
    }

    private static boolean isAcknowledged(final Blackboard board, final MembershipSection section) {
        final Incarnation self = board.identity().incarnation();
        final long epoch = section.roster().epoch();
        return section.roster().contains(self)
                && section.others(self).stream()
                        .allMatch(member ->
                                section.peerView().find(member.incarnation()).acknowledgedEpoch() >= epoch);
    }

    private static MembershipSection correctRoster(
            final Blackboard board, final MembershipSection section, final OutcomeBuilder builder, final Instant now) {
        if (section.status().writeUntil().filter(now::isBefore).isPresent()) {
            return section;
        }
        final Optional<Roster> nextRoster = RosterPolicy.nextRoster(board, section, now);
        if (nextRoster.isEmpty()) {
            return section;
        }
        builder.add(new Effect.WriteRoster(nextRoster.get(), section.agreement().revision()));
        final Instant pendingUntil = now.plus(board.identity().policy().leaseDuration());
        return section.with(section.status().withPendingWrite(Optional.of(pendingUntil)));
    }

    private static Outcome<MembershipSection> retryWrite(final MembershipSection section) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.ReadMembership());
        return builder.outcome(section.with(section.status().withPendingWrite(Optional.empty())));
    }

    private static Outcome<MembershipSection> applyWrittenRoster(
            final Blackboard board,
            final Roster roster,
            final long revision,
            final Instant requestedAt,
            final Instant now) {
        final MembershipSection section = board.membership();
        MembershipStatus status = section.status().withPendingWrite(Optional.empty());
        if (roster.contains(board.identity().incarnation())) {
            status = status.restartConfirmation(
                    requestedAt, board.identity().policy().fencingDelay());
        }
        return adopt(board, section.with(status), roster, revision, now);
    }

    private static Outcome<MembershipSection> adopt(
            final Blackboard board,
            final MembershipSection section,
            final Roster roster,
            final long revision,
            final Instant now) {
        final Agreement agreement = section.agreement();
        if (roster.epoch() <= agreement.roster().epoch()) {
            final long latestRevision = Math.max(revision, agreement.revision());
            final boolean sameEpoch = roster.epoch() == agreement.roster().epoch();
            return Outcome.of(section.with(new Agreement(
                    agreement.roster(),
                    sameEpoch ? latestRevision : agreement.revision(),
                    agreement.acknowledgedAt(),
                    agreement.settled())));
        }
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Event.RosterAdopted(agreement.roster()));
        builder.add(new Effect.StartTimer(new TimerKey.Heartbeat(), now));
        return builder.outcome(section.with(new Agreement(roster, revision, Optional.empty(), false))
                .with(section.peerView().retainMembers(roster))
                .with(section.status().withPeerConfirmation(Optional.empty()))
                .with(section.platformView().clearMissing()));
    }

    private static Outcome<MembershipSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        final MembershipSection section = board.membership();
        if (sender.equals(board.identity().incarnation())) {
            return Outcome.of(section);
        }
        final MembershipSection updated = section.with(section.peerView().withLastMessage(sender, Optional.of(now)));
        return switch (message) {
            case PeerMessage.Heartbeat heartbeat -> compareEpochs(board, updated, sender, heartbeat);
            case PeerMessage.EpochAcknowledged(long epoch, var reservations) ->
                Outcome.of(updated.with(updated.peerView().acknowledged(sender, epoch)));
            case PeerMessage.RosterRequest() -> sendRosterCopy(updated, sender);
            case PeerMessage.RosterCopy(Roster roster, long revision) -> adopt(board, updated, roster, revision, now);
            default -> Outcome.of(updated);
        };
    }

    private static Outcome<MembershipSection> compareEpochs(
            final Blackboard board,
            final MembershipSection section,
            final Incarnation sender,
            final PeerMessage.Heartbeat heartbeat) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final MembershipSection next = section.with(section.peerView().applyHeartbeat(sender, heartbeat));
        if (heartbeat.epoch() > next.roster().epoch()) {
            next.roster()
                    .find(sender.instance())
                    .ifPresent(member -> builder.add(new Effect.SendToPeer(member, new PeerMessage.RosterRequest())));
            builder.add(new Effect.ReadMembership());
        }
        final Optional<Instant> confirmedUntil = confirmedByAllPeers(board, next)
                .map(at -> at.plus(board.identity().policy().settleDelay()));
        return builder.outcome(next.with(next.status().withPeerConfirmation(confirmedUntil)));
    }

    /**
     * Finds the latest time at which every other member is confirmed to have been at this process's epoch. No later
     * epoch can have settled before that time plus the settle delay.
     */
    private static Optional<Instant> confirmedByAllPeers(final Blackboard board, final MembershipSection section) {
        Instant earliest = Instant.MAX;
        for (final Member member : section.others(board.identity().incarnation())) {
            final PeerState peer = section.peerView().find(member.incarnation());
            if (peer.epoch() != section.roster().epoch() || peer.confirmedAt().isEmpty()) {
                return Optional.empty();
            }
            earliest = earliest.isBefore(peer.confirmedAt().get())
                    ? earliest
                    : peer.confirmedAt().get();
        }
        return earliest.equals(Instant.MAX) ? Optional.empty() : Optional.of(earliest);
    }

    private static Outcome<MembershipSection> sendRosterCopy(
            final MembershipSection section, final Incarnation sender) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final PeerMessage copy =
                new PeerMessage.RosterCopy(section.roster(), section.agreement().revision());
        section.roster().find(sender.instance()).ifPresent(member -> builder.add(new Effect.SendToPeer(member, copy)));
        return builder.outcome(section);
    }
}
