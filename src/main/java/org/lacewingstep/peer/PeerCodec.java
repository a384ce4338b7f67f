package org.lacewingstep.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.PlacementVerdict;
import org.lacewingstep.blackboard.PeerMessage.TokenVerdict;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.etcd.DocumentCodec;
import org.lacewingstep.peer.wire.WireBudgetHandover;
import org.lacewingstep.peer.wire.WireConfigurationAsk;
import org.lacewingstep.peer.wire.WireConfigurationCopy;
import org.lacewingstep.peer.wire.WireEpochAcknowledged;
import org.lacewingstep.peer.wire.WireHeartbeat;
import org.lacewingstep.peer.wire.WireMessage;
import org.lacewingstep.peer.wire.WirePlacementAnswer;
import org.lacewingstep.peer.wire.WirePlacementAsk;
import org.lacewingstep.peer.wire.WirePlacementRelease;
import org.lacewingstep.peer.wire.WireReservationAudit;
import org.lacewingstep.peer.wire.WireReservationStatus;
import org.lacewingstep.peer.wire.WireRosterAsk;
import org.lacewingstep.peer.wire.WireTokenAnswer;
import org.lacewingstep.peer.wire.WireTokenAsk;
import org.lacewingstep.peer.wire.WireTokenRefund;

/** Maps messages between instances to and from their Thrift form. */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, not null
     * @return the Thrift form, never null
     */
    public static WireMessage encode(final PeerMessage message) {
        return switch (message) {
            case PeerMessage.Heartbeat beat -> WireMessage.heartbeat(heartbeat(beat));
            case PeerMessage.EpochAcknowledged(long epoch, var reservations) ->
                WireMessage.epochAcknowledged(new WireEpochAcknowledged(epoch, WireRecords.reservations(reservations)));
            case PeerMessage.TokenAsk ask -> WireMessage.tokenAsk(tokenAsk(ask));
            case PeerMessage.TokenAnswer answer -> WireMessage.tokenAnswer(tokenAnswer(answer));
            case PeerMessage.TokenRefund(var team, int slot, long debit, long tokens) ->
                WireMessage.tokenRefund(new WireTokenRefund(team.value(), slot, debit, tokens));
            case PeerMessage.BudgetHandover(long epoch, var team, int slot, double level) ->
                WireMessage.budgetHandover(new WireBudgetHandover(epoch, team.value(), slot, level));
            case PeerMessage.PlacementAsk ask -> WireMessage.placementAsk(placementAsk(ask));
            case PeerMessage.PlacementAnswer answer -> WireMessage.placementAnswer(placementAnswer(answer));
            case PeerMessage.PlacementRelease release -> WireMessage.placementRelease(placementRelease(release));
            case PeerMessage.ReservationAudit(var attempts) ->
                WireMessage.reservationAudit(new WireReservationAudit(WireRecords.attempts(attempts)));
            case PeerMessage.ReservationStatus(var alive, var ended) ->
                WireMessage.reservationStatus(
                        new WireReservationStatus(WireRecords.attempts(alive), WireRecords.attempts(ended)));
            case PeerMessage.RosterAsk() -> WireMessage.rosterAsk(new WireRosterAsk());
            case PeerMessage.RosterCopy(var roster, long revision) ->
                WireMessage.rosterCopy(WireRecords.roster(roster, revision));
            case PeerMessage.ConfigurationAsk() -> WireMessage.configurationAsk(new WireConfigurationAsk());
            case PeerMessage.ConfigurationCopy(var configuration) ->
                WireMessage.configurationCopy(
                        new WireConfigurationCopy().setDocument(DocumentCodec.encode(configuration)));
            case PeerMessage.SiteLoad load -> WireMessage.siteLoad(WireRecords.siteLoad(load));
        };
    }

    /**
     * Decodes a message.
     *
     * @param message the Thrift form, not null
     * @return the message, never null
     * @throws RouterException if the message is of no known kind or its parts are invalid
     */
    public static PeerMessage decode(final WireMessage message) {
        return switch (message.getSetField()) {
            case HEARTBEAT -> heartbeat(message.getHeartbeat());
            case EPOCH_ACKNOWLEDGED ->
                new PeerMessage.EpochAcknowledged(
                        message.getEpochAcknowledged().getEpoch(),
                        WireRecords.toReservations(
                                message.getEpochAcknowledged().getReservations()));
            case TOKEN_ASK -> tokenAsk(message.getTokenAsk());
            case TOKEN_ANSWER -> tokenAnswer(message.getTokenAnswer());
            case TOKEN_REFUND -> tokenRefund(message.getTokenRefund());
            case BUDGET_HANDOVER -> budgetHandover(message.getBudgetHandover());
            case PLACEMENT_ASK -> placementAsk(message.getPlacementAsk());
            case PLACEMENT_ANSWER -> placementAnswer(message.getPlacementAnswer());
            case PLACEMENT_RELEASE -> placementRelease(message.getPlacementRelease());
            case RESERVATION_AUDIT ->
                new PeerMessage.ReservationAudit(
                        WireRecords.toAttempts(message.getReservationAudit().getAttempts()));
            case RESERVATION_STATUS ->
                new PeerMessage.ReservationStatus(
                        WireRecords.toAttempts(message.getReservationStatus().getAlive()),
                        WireRecords.toAttempts(message.getReservationStatus().getEnded()));
            case ROSTER_ASK -> new PeerMessage.RosterAsk();
            case ROSTER_COPY ->
                new PeerMessage.RosterCopy(
                        WireRecords.toRoster(message.getRosterCopy()),
                        message.getRosterCopy().getRevision());
            case CONFIGURATION_ASK -> new PeerMessage.ConfigurationAsk();
            case CONFIGURATION_COPY ->
                new PeerMessage.ConfigurationCopy(DocumentCodec.decodeConfiguration(
                        message.getConfigurationCopy().getDocument()));
            case SITE_LOAD -> WireRecords.toSiteLoad(message.getSiteLoad());
            case HELLO ->
                throw new RouterException(
                        ErrorCode.PEER_PROTOCOL, "decode", "peer", "a greeting came in the middle of a connection");
        };
    }

    private static WireHeartbeat heartbeat(final PeerMessage.Heartbeat beat) {
        final WireHeartbeat wire =
                new WireHeartbeat(beat.number(), beat.echo(), beat.epoch(), beat.settledEpoch(), beat.generation());
        beat.confirmedAge().ifPresent(age -> wire.setConfirmedAgeMilliseconds(age.toMillis()));
        return wire;
    }

    private static PeerMessage heartbeat(final WireHeartbeat wire) {
        final Optional<Duration> age = wire.isSetConfirmedAgeMilliseconds()
                ? Optional.of(Duration.ofMillis(wire.getConfirmedAgeMilliseconds()))
                : Optional.empty();
        return new PeerMessage.Heartbeat(
                wire.getNumber(), wire.getEcho(), wire.getEpoch(), wire.getSettledEpoch(), wire.getGeneration(), age);
    }

    private static WireTokenAsk tokenAsk(final PeerMessage.TokenAsk ask) {
        return new WireTokenAsk(
                ask.question(),
                ask.team().value(),
                ask.slot(),
                ask.tokens(),
                ask.partial(),
                ask.patience().toMillis());
    }

    private static PeerMessage tokenAsk(final WireTokenAsk wire) {
        return new PeerMessage.TokenAsk(
                wire.getQuestion(),
                new TeamName(wire.getTeam()),
                wire.getSlot(),
                wire.getTokens(),
                wire.isPartial(),
                Duration.ofMillis(wire.getPatienceMilliseconds()));
    }

    private static WireTokenAnswer tokenAnswer(final PeerMessage.TokenAnswer answer) {
        return new WireTokenAnswer(
                answer.question(),
                answer.verdict().ordinal(),
                answer.tokens(),
                answer.debit(),
                answer.retryAfter().toMillis());
    }

    private static PeerMessage tokenAnswer(final WireTokenAnswer wire) {
        return new PeerMessage.TokenAnswer(
                wire.getQuestion(),
                WireRecords.constant(TokenVerdict.values(), wire.getVerdict()),
                wire.getTokens(),
                wire.getDebit(),
                Duration.ofMillis(wire.getRetryAfterMilliseconds()));
    }

    private static PeerMessage tokenRefund(final WireTokenRefund wire) {
        return new PeerMessage.TokenRefund(
                new TeamName(wire.getTeam()), wire.getSlot(), wire.getDebit(), wire.getTokens());
    }

    private static PeerMessage budgetHandover(final WireBudgetHandover wire) {
        return new PeerMessage.BudgetHandover(
                wire.getEpoch(), new TeamName(wire.getTeam()), wire.getSlot(), wire.getLevel());
    }

    private static WirePlacementAsk placementAsk(final PeerMessage.PlacementAsk ask) {
        final List<String> avoided =
                ask.avoided().stream().map(UpstreamName::value).toList();
        final WirePlacementAsk wire = new WirePlacementAsk()
                .setAttempt(WireRecords.attempt(ask.attempt()))
                .setCell(ask.cell().value())
                .setTokens(ask.tokens())
                .setPieces(ask.pieces())
                .setAvoided(avoided)
                .setPatienceMilliseconds(ask.patience().toMillis());
        ask.team().ifPresent(team -> wire.setTeam(team.value()));
        return wire;
    }

    private static PeerMessage placementAsk(final WirePlacementAsk wire) {
        final Set<UpstreamName> avoided =
                wire.getAvoided().stream().map(UpstreamName::new).collect(Collectors.toSet());
        return new PeerMessage.PlacementAsk(
                WireRecords.toAttempt(wire.getAttempt()),
                new CellName(wire.getCell()),
                Optional.ofNullable(wire.getTeam()).map(TeamName::new),
                wire.getTokens(),
                wire.getPieces(),
                avoided,
                Duration.ofMillis(wire.getPatienceMilliseconds()));
    }

    private static WirePlacementAnswer placementAnswer(final PeerMessage.PlacementAnswer answer) {
        final WirePlacementAnswer wire = new WirePlacementAnswer()
                .setAttempt(WireRecords.attempt(answer.attempt()))
                .setVerdict(answer.verdict().ordinal());
        answer.reservation().map(WireRecords::reservation).ifPresent(wire::setReservation);
        return wire;
    }

    private static PeerMessage placementAnswer(final WirePlacementAnswer wire) {
        return new PeerMessage.PlacementAnswer(
                WireRecords.toAttempt(wire.getAttempt()),
                WireRecords.constant(PlacementVerdict.values(), wire.getVerdict()),
                Optional.ofNullable(wire.getReservation()).map(WireRecords::toReservation));
    }

    private static WirePlacementRelease placementRelease(final PeerMessage.PlacementRelease release) {
        final WirePlacementRelease wire = new WirePlacementRelease()
                .setAttempt(WireRecords.attempt(release.attempt()))
                .setCell(release.cell().value())
                .setCompleted(release.completed());
        release.blamed().ifPresent(upstream -> wire.setBlamed(upstream.value()));
        return wire;
    }

    private static PeerMessage placementRelease(final WirePlacementRelease wire) {
        return new PeerMessage.PlacementRelease(
                WireRecords.toAttempt(wire.getAttempt()),
                new CellName(wire.getCell()),
                Optional.ofNullable(wire.getBlamed()).map(UpstreamName::new),
                wire.isCompleted());
    }
}
