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
import org.lacewingstep.domain.StoreRevision;
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
import org.lacewingstep.peer.wire.WireStoreQuery;
import org.lacewingstep.peer.wire.WireTokenAnswer;
import org.lacewingstep.peer.wire.WireTokenAsk;
import org.lacewingstep.peer.wire.WireTokenRefund;

/** Converts the messages between instances to and from their Thrift structs. */
public final class PeerCodec {
    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, not null
     * @return the Thrift struct, never null
     */
    public static WireMessage encode(final PeerMessage message) {
        return switch (message) {
            case PeerMessage.Heartbeat heartbeat -> WireMessage.heartbeat(encodeHeartbeat(heartbeat));
            case PeerMessage.EpochAcknowledged(long epoch, var reservations) ->
                WireMessage.epochAcknowledged(
                        new WireEpochAcknowledged(epoch, RecordCodec.encodeReservations(reservations)));
            case PeerMessage.TokenRequest request -> WireMessage.tokenAsk(encodeTokenRequest(request));
            case PeerMessage.TokenResponse response -> WireMessage.tokenAnswer(encodeTokenResponse(response));
            case PeerMessage.TokenRefund(var team, int slot, long debit, long tokens) ->
                WireMessage.tokenRefund(new WireTokenRefund(team.value(), slot, debit, tokens));
            case PeerMessage.BudgetHandover(long epoch, var team, int slot, double level) ->
                WireMessage.budgetHandover(new WireBudgetHandover(epoch, team.value(), slot, level));
            case PeerMessage.PlacementRequest request -> WireMessage.placementAsk(encodePlacementRequest(request));
            case PeerMessage.PlacementResponse response ->
                WireMessage.placementAnswer(encodePlacementResponse(response));
            case PeerMessage.PlacementRelease release -> WireMessage.placementRelease(encodePlacementRelease(release));
            case PeerMessage.ReservationAudit(var attempts) ->
                WireMessage.reservationAudit(new WireReservationAudit(RecordCodec.encodeAttempts(attempts)));
            case PeerMessage.ReservationStatus(var alive, var ended) ->
                WireMessage.reservationStatus(new WireReservationStatus(
                        RecordCodec.encodeAttempts(alive), RecordCodec.encodeAttempts(ended)));
            case PeerMessage.RosterRequest() -> WireMessage.rosterAsk(new WireRosterAsk());
            case PeerMessage.RosterCopy(var roster, long revision) ->
                WireMessage.rosterCopy(RecordCodec.encodeRoster(roster, revision));
            case PeerMessage.ConfigurationRequest() -> WireMessage.configurationAsk(new WireConfigurationAsk());
            case PeerMessage.ConfigurationCopy(var configuration) ->
                WireMessage.configurationCopy(
                        new WireConfigurationCopy().setDocument(DocumentCodec.encode(configuration)));
            case PeerMessage.SiteLoad load -> WireMessage.siteLoad(RecordCodec.encodeSiteLoad(load));
            case PeerMessage.StoreQuery(long number, StoreRevision revision) ->
                WireMessage.storeQuery(new WireStoreQuery(number, revision.toLong()));
            case PeerMessage.StoreUpdate update -> WireMessage.storeUpdate(RelayCodec.encodeUpdate(update));
            case PeerMessage.UpstreamDepartures departures ->
                WireMessage.upstreamDepartures(RelayCodec.encodeDepartures(departures));
            case PeerMessage.LoadDigest digest -> WireMessage.loadDigest(RelayCodec.encodeDigest(digest));
        };
    }

    /**
     * Decodes a message.
     *
     * @param message the Thrift struct, not null
     * @return the message, never null
     * @throws RouterException if the message is a greeting or one of its fields is invalid
     */
    public static PeerMessage decode(final WireMessage message) {
        return switch (message.getSetField()) {
            case HEARTBEAT -> decodeHeartbeat(message.getHeartbeat());
            case EPOCH_ACKNOWLEDGED ->
                new PeerMessage.EpochAcknowledged(
                        message.getEpochAcknowledged().getEpoch(),
                        RecordCodec.decodeReservations(
                                message.getEpochAcknowledged().getReservations()));
            case TOKEN_ASK -> decodeTokenRequest(message.getTokenAsk());
            case TOKEN_ANSWER -> decodeTokenResponse(message.getTokenAnswer());
            case TOKEN_REFUND -> decodeTokenRefund(message.getTokenRefund());
            case BUDGET_HANDOVER -> decodeBudgetHandover(message.getBudgetHandover());
            case PLACEMENT_ASK -> decodePlacementRequest(message.getPlacementAsk());
            case PLACEMENT_ANSWER -> decodePlacementResponse(message.getPlacementAnswer());
            case PLACEMENT_RELEASE -> decodePlacementRelease(message.getPlacementRelease());
            case RESERVATION_AUDIT ->
                new PeerMessage.ReservationAudit(
                        RecordCodec.decodeAttempts(message.getReservationAudit().getAttempts()));
            case RESERVATION_STATUS ->
                new PeerMessage.ReservationStatus(
                        RecordCodec.decodeAttempts(
                                message.getReservationStatus().getAlive()),
                        RecordCodec.decodeAttempts(
                                message.getReservationStatus().getEnded()));
            case ROSTER_ASK -> new PeerMessage.RosterRequest();
            case ROSTER_COPY ->
                new PeerMessage.RosterCopy(
                        RecordCodec.decodeRoster(message.getRosterCopy()),
                        message.getRosterCopy().getRevision());
            case CONFIGURATION_ASK -> new PeerMessage.ConfigurationRequest();
            case CONFIGURATION_COPY ->
                new PeerMessage.ConfigurationCopy(DocumentCodec.decodeConfiguration(
                        message.getConfigurationCopy().getDocument()));
            case SITE_LOAD -> RecordCodec.decodeSiteLoad(message.getSiteLoad());
            case STORE_QUERY ->
                new PeerMessage.StoreQuery(
                        message.getStoreQuery().getNumber(),
                        StoreRevision.fromLong(message.getStoreQuery().getRevision()));
            case STORE_UPDATE -> RelayCodec.decodeUpdate(message.getStoreUpdate());
            case UPSTREAM_DEPARTURES -> RelayCodec.decodeDepartures(message.getUpstreamDepartures());
            case LOAD_DIGEST -> RelayCodec.decodeDigest(message.getLoadDigest());
            case HELLO ->
                throw new RouterException(
                        ErrorCode.PEER_PROTOCOL, "decode", "peer", "unexpected greeting on an established connection");
        };
    }

    private static WireHeartbeat encodeHeartbeat(final PeerMessage.Heartbeat heartbeat) {
        final WireHeartbeat wire = new WireHeartbeat(
                heartbeat.number(),
                heartbeat.echo(),
                heartbeat.epoch(),
                heartbeat.settledEpoch(),
                heartbeat.generation());
        heartbeat.confirmedAge().ifPresent(age -> wire.setConfirmedAgeMilliseconds(age.toMillis()));
        return wire;
    }

    private static PeerMessage decodeHeartbeat(final WireHeartbeat wire) {
        final Optional<Duration> age = wire.isSetConfirmedAgeMilliseconds()
                ? Optional.of(Duration.ofMillis(wire.getConfirmedAgeMilliseconds()))
                : Optional.empty();
        return new PeerMessage.Heartbeat(
                wire.getNumber(), wire.getEcho(), wire.getEpoch(), wire.getSettledEpoch(), wire.getGeneration(), age);
    }

    private static WireTokenAsk encodeTokenRequest(final PeerMessage.TokenRequest request) {
        return new WireTokenAsk(
                request.query(),
                request.team().value(),
                request.slot(),
                request.tokens(),
                request.partial(),
                request.waitLimit().toMillis());
    }

    private static PeerMessage decodeTokenRequest(final WireTokenAsk wire) {
        return new PeerMessage.TokenRequest(
                wire.getQuestion(),
                new TeamName(wire.getTeam()),
                wire.getSlot(),
                wire.getTokens(),
                wire.isPartial(),
                Duration.ofMillis(wire.getPatienceMilliseconds()));
    }

    private static WireTokenAnswer encodeTokenResponse(final PeerMessage.TokenResponse response) {
        return new WireTokenAnswer(
                response.query(),
                response.verdict().ordinal(),
                response.tokens(),
                response.debit(),
                response.retryAfter().toMillis());
    }

    private static PeerMessage decodeTokenResponse(final WireTokenAnswer wire) {
        return new PeerMessage.TokenResponse(
                wire.getQuestion(),
                RecordCodec.constantAt(TokenVerdict.values(), wire.getVerdict()),
                wire.getTokens(),
                wire.getDebit(),
                Duration.ofMillis(wire.getRetryAfterMilliseconds()));
    }

    private static PeerMessage decodeTokenRefund(final WireTokenRefund wire) {
        return new PeerMessage.TokenRefund(
                new TeamName(wire.getTeam()), wire.getSlot(), wire.getDebit(), wire.getTokens());
    }

    private static PeerMessage decodeBudgetHandover(final WireBudgetHandover wire) {
        return new PeerMessage.BudgetHandover(
                wire.getEpoch(), new TeamName(wire.getTeam()), wire.getSlot(), wire.getLevel());
    }

    private static WirePlacementAsk encodePlacementRequest(final PeerMessage.PlacementRequest request) {
        final List<String> avoided =
                request.avoided().stream().map(UpstreamName::value).toList();
        final WirePlacementAsk wire = new WirePlacementAsk()
                .setAttempt(RecordCodec.encodeAttempt(request.attempt()))
                .setCell(request.cell().value())
                .setTokens(request.tokens())
                .setPieces(request.pieces())
                .setAvoided(avoided)
                .setPatienceMilliseconds(request.waitLimit().toMillis());
        request.team().ifPresent(team -> wire.setTeam(team.value()));
        return wire;
    }

    private static PeerMessage decodePlacementRequest(final WirePlacementAsk wire) {
        final Set<UpstreamName> avoided =
                wire.getAvoided().stream().map(UpstreamName::new).collect(Collectors.toSet());
        return new PeerMessage.PlacementRequest(
                RecordCodec.decodeAttempt(wire.getAttempt()),
                new CellName(wire.getCell()),
                Optional.ofNullable(wire.getTeam()).map(TeamName::new),
                wire.getTokens(),
                wire.getPieces(),
                avoided,
                Duration.ofMillis(wire.getPatienceMilliseconds()));
    }

    private static WirePlacementAnswer encodePlacementResponse(final PeerMessage.PlacementResponse response) {
        final WirePlacementAnswer wire = new WirePlacementAnswer()
                .setAttempt(RecordCodec.encodeAttempt(response.attempt()))
                .setVerdict(response.verdict().ordinal());
        response.reservation().map(RecordCodec::encodeReservation).ifPresent(wire::setReservation);
        return wire;
    }

    private static PeerMessage decodePlacementResponse(final WirePlacementAnswer wire) {
        return new PeerMessage.PlacementResponse(
                RecordCodec.decodeAttempt(wire.getAttempt()),
                RecordCodec.constantAt(PlacementVerdict.values(), wire.getVerdict()),
                Optional.ofNullable(wire.getReservation()).map(RecordCodec::decodeReservation));
    }

    private static WirePlacementRelease encodePlacementRelease(final PeerMessage.PlacementRelease release) {
        final WirePlacementRelease wire = new WirePlacementRelease()
                .setAttempt(RecordCodec.encodeAttempt(release.attempt()))
                .setCell(release.cell().value())
                .setCompleted(release.completed());
        release.failedUpstream().ifPresent(upstream -> wire.setBlamed(upstream.value()));
        return wire;
    }

    private static PeerMessage decodePlacementRelease(final WirePlacementRelease wire) {
        return new PeerMessage.PlacementRelease(
                RecordCodec.decodeAttempt(wire.getAttempt()),
                new CellName(wire.getCell()),
                Optional.ofNullable(wire.getBlamed()).map(UpstreamName::new),
                wire.isCompleted());
    }
}
