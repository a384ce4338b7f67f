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
import org.lacewingstep.blackboard.MembershipSection.Standing;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerView.PeerState;
import org.lacewingstep.blackboard.PlatformView.Sighting;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Shard;

/** Keeps the roster: joins, removes members that are gone, acknowledges epochs and suspends this process. */
public final class MembershipController implements Controller<MembershipSection> {
    /** The platform is asked so many times in the life of a lease. */
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
            case Event.TimerFired(TimerKey.PlatformRenewal()) -> renew(board, now);
            case Event.TimerFired(TimerKey.Heartbeat()) -> beat(board, now);
            case Event.RosterRead(Roster roster, long revision) -> adopt(board, section, roster, revision, now);
            case Event.RosterWritten(Roster roster, long revision, Instant askedAt) ->
                written(board, roster, revision, askedAt, now);
            case Event.RosterWriteFailed() -> retryWrite(section);
            case Event.LeaseRenewed(long lease, Instant askedAt) -> renewed(board, lease, askedAt);
            case Event.LeaseLost() -> lost(section);
            case Event.LeasesRead(var leased, Instant askedAt) ->
                Outcome.of(section.with(section.platformView().withLeases(new Sighting(leased, askedAt))));
            case Event.InstanceListRead(var listed, Instant askedAt) -> listed(board, new Sighting(listed, askedAt));
            case Event.PeerUnreachable(Incarnation peer) ->
                Outcome.of(section.with(section.peerView().heard(peer, Optional.empty())));
            case Event.PeerMessageReceived(Incarnation sender, PeerMessage message) ->
                receive(board, sender, message, now);
            default -> Outcome.of(section);
        };
    }

    private static Outcome<MembershipSection> start(final Blackboard board, final Instant now) {
        final Draft draft = new Draft();
        draft.add(new Effect.StartTimer(new TimerKey.Heartbeat(), now));
        renewLease(board, draft, now);
        return draft.outcome(board.membership());
    }

    private static Outcome<MembershipSection> renew(final Blackboard board, final Instant now) {
        final Draft draft = new Draft();
        renewLease(board, draft, now);
        return draft.outcome(board.membership());
    }

    private static void renewLease(final Blackboard board, final Draft draft, final Instant now) {
        draft.add(new Effect.RenewLease(board.membership().standing().leaseIdentifier()));
        draft.add(new Effect.ReadPlatform());
        draft.add(new Effect.StartTimer(new TimerKey.PlatformRenewal(), now.plus(renewalInterval(board))));
    }

    private static Duration renewalInterval(final Blackboard board) {
        return board.identity().policy().leaseDuration().dividedBy(RENEWALS_PER_LEASE);
    }

    /** Only the renewal of the same lease shows that it never lapsed. */
    private static Outcome<MembershipSection> renewed(final Blackboard board, final long lease, final Instant askedAt) {
        final MembershipSection section = board.membership();
        final Standing standing = section.standing().withLease(lease);
        if (lease != section.standing().leaseIdentifier()) {
            return Outcome.of(section.with(standing));
        }
        return Outcome.of(
                section.with(standing.extend(askedAt, board.identity().policy().fencingDelay())));
    }

    private static Outcome<MembershipSection> lost(final MembershipSection section) {
        final Draft draft = new Draft();
        draft.add(new Effect.RenewLease(0));
        return draft.outcome(section.with(section.standing().withLease(0)));
    }

    private static Outcome<MembershipSection> listed(final Blackboard board, final Sighting sighting) {
        final MembershipSection section = board.membership();
        final MembershipSection next = section.with(section.platformView().withList(sighting));
        if (!sighting.processes().contains(board.identity().incarnation())) {
            return Outcome.of(next);
        }
        return Outcome.of(next.with(
                next.standing().extend(sighting.at(), board.identity().policy().fencingDelay())));
    }

    private static Outcome<MembershipSection> beat(final Blackboard board, final Instant now) {
        final Draft draft = new Draft();
        draft.add(new Effect.StartTimer(
                new TimerKey.Heartbeat(), now.plus(board.identity().policy().heartbeatInterval())));
        final MembershipSection before = board.membership();
        final Duration viewLimit = renewalInterval(board).multipliedBy(2);
        MembershipSection section = before.with(before.peerView().countHeartbeat(now));
        section = section.with(section.platformView().observe(section.roster(), now, viewLimit));
        section = settle(board, section, draft, now);
        sendHeartbeats(board, section, draft, now);
        section = correctRoster(board, section, draft, now);
        return draft.outcome(section);
    }

    private static void sendHeartbeats(
            final Blackboard board, final MembershipSection section, final Draft draft, final Instant now) {
        final Incarnation self = board.identity().incarnation();
        if (!section.roster().contains(self)) {
            return;
        }
        for (final Member member : section.others(self)) {
            final PeerState peer = section.peerView().find(member.incarnation());
            if (peer.settledEpoch() < section.roster().epoch()) {
                draft.add(new Effect.SendToPeer(member, acknowledgement(board, section, member)));
            }
            draft.add(new Effect.SendToPeer(member, heartbeat(board, section, peer, now)));
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

    /** Names this process's reservations in the cells of which the receiver is home. */
    private static PeerMessage acknowledgement(
            final Blackboard board, final MembershipSection section, final Member receiver) {
        final List<Reservation> reservations = RunningReservations.of(board.requests()).stream()
                .filter(held -> section.isHome(new Shard.CellShard(held.cell()), receiver.incarnation()))
                .toList();
        return new PeerMessage.EpochAcknowledged(section.roster().epoch(), reservations);
    }

    private static MembershipSection settle(
            final Blackboard board, final MembershipSection section, final Draft draft, final Instant now) {
        final Agreement agreement = section.agreement();
        if (agreement.settled() || !isAcknowledged(board, section)) {
            return section;
        }
        final Instant since = agreement.acknowledgedAt().orElse(now);
        final boolean settled =
                !now.isBefore(since.plus(board.identity().policy().settleDelay()));
        if (settled) {
            draft.add(new Event.RosterSettled(agreement.roster().epoch()));
        }
        return section.with(new Agreement(agreement.roster(), agreement.revision(), Optional.of(since), settled));
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
            final Blackboard board, final MembershipSection section, final Draft draft, final Instant now) {
        if (section.standing().writeUntil().filter(now::isBefore).isPresent()) {
            return section;
        }
        final Optional<Roster> wanted = RosterPolicy.wanted(board, section, now);
        if (wanted.isEmpty()) {
            return section;
        }
        draft.add(new Effect.WriteRoster(wanted.get(), section.agreement().revision()));
        final Instant until = now.plus(board.identity().policy().leaseDuration());
        return section.with(section.standing().writing(Optional.of(until)));
    }

    private static Outcome<MembershipSection> retryWrite(final MembershipSection section) {
        final Draft draft = new Draft();
        draft.add(new Effect.ReadPlatform());
        return draft.outcome(section.with(section.standing().writing(Optional.empty())));
    }

    private static Outcome<MembershipSection> written(
            final Blackboard board,
            final Roster roster,
            final long revision,
            final Instant askedAt,
            final Instant now) {
        final MembershipSection section = board.membership();
        Standing standing = section.standing().writing(Optional.empty());
        if (roster.contains(board.identity().incarnation())) {
            standing = standing.restart(askedAt, board.identity().policy().fencingDelay());
        }
        return adopt(board, section.with(standing), roster, revision, now);
    }

    private static Outcome<MembershipSection> adopt(
            final Blackboard board,
            final MembershipSection section,
            final Roster roster,
            final long revision,
            final Instant now) {
        final Agreement agreement = section.agreement();
        if (roster.epoch() <= agreement.roster().epoch()) {
            final long highest = Math.max(revision, agreement.revision());
            final boolean same = roster.epoch() == agreement.roster().epoch();
            return Outcome.of(section.with(new Agreement(
                    agreement.roster(),
                    same ? highest : agreement.revision(),
                    agreement.acknowledgedAt(),
                    agreement.settled())));
        }
        final Draft draft = new Draft();
        draft.add(new Event.RosterAdopted(agreement.roster()));
        draft.add(new Effect.StartTimer(new TimerKey.Heartbeat(), now));
        return draft.outcome(section.with(new Agreement(roster, revision, Optional.empty(), false))
                .with(section.peerView().keepMembers(roster))
                .with(section.standing().proven(Optional.empty()))
                .with(section.platformView().restart()));
    }

    private static Outcome<MembershipSection> receive(
            final Blackboard board, final Incarnation sender, final PeerMessage message, final Instant now) {
        final MembershipSection section = board.membership();
        if (sender.equals(board.identity().incarnation())) {
            return Outcome.of(section);
        }
        final MembershipSection heard = section.with(section.peerView().heard(sender, Optional.of(now)));
        return switch (message) {
            case PeerMessage.Heartbeat beat -> compare(board, heard, sender, beat);
            case PeerMessage.EpochAcknowledged(long epoch, var reservations) ->
                Outcome.of(heard.with(heard.peerView().acknowledged(sender, epoch)));
            case PeerMessage.RosterAsk() -> copy(heard, sender);
            case PeerMessage.RosterCopy(Roster roster, long revision) -> adopt(board, heard, roster, revision, now);
            default -> Outcome.of(heard);
        };
    }

    private static Outcome<MembershipSection> compare(
            final Blackboard board,
            final MembershipSection heard,
            final Incarnation sender,
            final PeerMessage.Heartbeat beat) {
        final Draft draft = new Draft();
        final MembershipSection next = heard.with(heard.peerView().beat(sender, beat));
        if (beat.epoch() > next.roster().epoch()) {
            next.roster()
                    .find(sender.instance())
                    .ifPresent(member -> draft.add(new Effect.SendToPeer(member, new PeerMessage.RosterAsk())));
            draft.add(new Effect.ReadPlatform());
        }
        final Optional<Instant> proven = provenByAll(board, next)
                .map(at -> at.plus(board.identity().policy().settleDelay()));
        return draft.outcome(next.with(next.standing().proven(proven)));
    }

    /**
     * Finds the time at which every other member was still at this process's epoch; no later epoch can have settled
     * before that time plus the settle delay.
     */
    private static Optional<Instant> provenByAll(final Blackboard board, final MembershipSection section) {
        Instant earliest = Instant.MAX;
        for (final Member member : section.others(board.identity().incarnation())) {
            final PeerState peer = section.peerView().find(member.incarnation());
            if (peer.epoch() != section.roster().epoch() || peer.provenAt().isEmpty()) {
                return Optional.empty();
            }
            earliest = earliest.isBefore(peer.provenAt().get())
                    ? earliest
                    : peer.provenAt().get();
        }
        return earliest.equals(Instant.MAX) ? Optional.empty() : Optional.of(earliest);
    }

    private static Outcome<MembershipSection> copy(final MembershipSection heard, final Incarnation sender) {
        final Draft draft = new Draft();
        final PeerMessage copy =
                new PeerMessage.RosterCopy(heard.roster(), heard.agreement().revision());
        heard.roster().find(sender.instance()).ifPresent(member -> draft.add(new Effect.SendToPeer(member, copy)));
        return draft.outcome(heard);
    }
}
