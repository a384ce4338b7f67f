package org.lacewingstep.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PromptEvidence;
import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.ServiceUrgency;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.domain.WorkKind;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.peer.wire.WireAnswerCounts;
import org.lacewingstep.peer.wire.WireAttempt;
import org.lacewingstep.peer.wire.WireDemand;
import org.lacewingstep.peer.wire.WireMember;
import org.lacewingstep.peer.wire.WirePromptCrash;
import org.lacewingstep.peer.wire.WirePromptEvidence;
import org.lacewingstep.peer.wire.WireReservation;
import org.lacewingstep.peer.wire.WireRosterCopy;
import org.lacewingstep.peer.wire.WireSiteLoad;
import org.lacewingstep.peer.wire.WireSpeed;
import org.lacewingstep.peer.wire.WireUpstreamStart;
import org.lacewingstep.peer.wire.WireUpstreamUse;

/** Converts the records that several messages contain to and from their Thrift structs. */
final class RecordCodec {
    private RecordCodec() {}

    static WireAttempt encodeAttempt(final AttemptIdentifier attempt) {
        return new WireAttempt(attempt.request().value(), attempt.number());
    }

    static List<WireAttempt> encodeAttempts(final List<AttemptIdentifier> attempts) {
        return attempts.stream().map(RecordCodec::encodeAttempt).toList();
    }

    static <E> E constantAt(final E[] constants, final int ordinal) {
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new RouterException(ErrorCode.PEER_PROTOCOL, "decode", "peer", "unknown enum ordinal " + ordinal);
        }
        return constants[ordinal];
    }

    static WireReservation encodeReservation(final Reservation reservation) {
        final WireReservation wire = new WireReservation()
                .setRequest(reservation.attempt().request().value())
                .setAttempt(reservation.attempt().number())
                .setInstance(reservation.owner().instance().value())
                .setIncarnation(reservation.owner().number())
                .setCell(reservation.cell().value())
                .setTarget(reservation.target().value())
                .setPieces(reservation.pieces());
        reservation.prefill().ifPresent(prefill -> wire.setPrefill(prefill.value()));
        return wire;
    }

    static List<WireReservation> encodeReservations(final List<Reservation> reservations) {
        return reservations.stream().map(RecordCodec::encodeReservation).toList();
    }

    static WireRosterCopy encodeRoster(final Roster roster, final long revision) {
        return new WireRosterCopy(
                roster.epoch(),
                revision,
                roster.members().stream().map(RecordCodec::encodeMember).toList(),
                roster.failureDomains().stream().map(FailureDomainName::value).toList());
    }

    static AttemptIdentifier decodeAttempt(final WireAttempt wire) {
        return new AttemptIdentifier(new RequestIdentifier(wire.getRequest()), wire.getAttempt());
    }

    static List<AttemptIdentifier> decodeAttempts(final List<WireAttempt> wire) {
        return wire.stream().map(RecordCodec::decodeAttempt).toList();
    }

    static Reservation decodeReservation(final WireReservation wire) {
        return new Reservation(
                new AttemptIdentifier(new RequestIdentifier(wire.getRequest()), wire.getAttempt()),
                new Incarnation(new InstanceName(wire.getInstance()), wire.getIncarnation()),
                new CellName(wire.getCell()),
                Optional.ofNullable(wire.getPrefill()).map(UpstreamName::new),
                new UpstreamName(wire.getTarget()),
                wire.getPieces());
    }

    static List<Reservation> decodeReservations(final List<WireReservation> wire) {
        return wire.stream().map(RecordCodec::decodeReservation).toList();
    }

    static Roster decodeRoster(final WireRosterCopy wire) {
        return new Roster(
                wire.getEpoch(),
                wire.getMembers().stream().map(RecordCodec::decodeMember).toList(),
                wire.getFailureDomains().stream().map(FailureDomainName::new).toList());
    }

    static WireMember encodeMember(final Member member) {
        return new WireMember(
                member.name().value(),
                member.incarnation().number(),
                member.address().host(),
                member.address().port(),
                member.failureDomain().value());
    }

    static Member decodeMember(final WireMember wire) {
        return new Member(
                new Incarnation(new InstanceName(wire.getInstance()), wire.getIncarnation()),
                new PeerAddress(wire.getHost(), wire.getPort()),
                new FailureDomainName(wire.getFailureDomain()));
    }

    static WireSiteLoad encodeSiteLoad(final PeerMessage.SiteLoad load) {
        final List<WireUpstreamUse> uses = new ArrayList<>();
        load.uses()
                .forEach((upstream, use) ->
                        uses.add(new WireUpstreamUse(upstream.value(), use.requests(), use.tokens(), use.arrivals())));
        final Map<String, Double> spent = new HashMap<>();
        load.spent().forEach((team, units) -> spent.put(team.value(), units));
        final WireSiteLoad wire = new WireSiteLoad(uses, spent);
        if (!load.prompts().isEmpty()) {
            wire.setPrompts(load.prompts().entrySet().stream()
                    .map(entry -> encodeEvidence(entry.getKey(), entry.getValue()))
                    .toList());
        }
        if (!load.leaving().isEmpty()) {
            wire.setLeaving(load.leaving().stream()
                    .map(start -> new WireUpstreamStart(start.upstream().value(), start.startedAtMillis()))
                    .toList());
        }
        if (!load.queued().isEmpty()) {
            wire.setQueued(load.queued().entrySet().stream()
                    .map(entry -> encodeDemand(entry.getKey(), entry.getValue()))
                    .toList());
        }
        if (!load.speeds().isEmpty()) {
            wire.setSpeeds(load.speeds().entrySet().stream()
                    .map(entry -> encodeSpeed(entry.getKey(), entry.getValue()))
                    .toList());
        }
        if (!load.answers().isEmpty()) {
            wire.setAnswers(load.answers().entrySet().stream()
                    .map(entry -> encodeAnswers(entry.getKey(), entry.getValue()))
                    .toList());
        }
        return wire;
    }

    private static WireDemand encodeDemand(final ServiceUrgency key, final Demand demand) {
        return new WireDemand(
                key.service().value(),
                key.urgency().rank(),
                demand.queued(),
                demand.queuedTokens(),
                demand.arrivedTokens(),
                demand.releasedTokens());
    }

    private static WireSpeed encodeSpeed(final SpeedKey key, final SpeedSum sum) {
        return new WireSpeed(
                key.start().upstream().value(),
                key.start().startedAtMillis(),
                (byte) key.kind().ordinal(),
                sum.samples(),
                sum.weight(),
                sum.logSum());
    }

    private static WireAnswerCounts encodeAnswers(final AnswerGroup group, final AnswerCounts counts) {
        return new WireAnswerCounts(
                group.service().value(),
                group.order(),
                group.version().value(),
                group.route(),
                group.part(),
                counts.sent(),
                counts.failed(),
                counts.served());
    }

    private static Map<AnswerGroup, AnswerCounts> decodeAnswers(final WireSiteLoad wire) {
        final Map<AnswerGroup, AnswerCounts> answers = new HashMap<>();
        if (wire.isSetAnswers()) {
            wire.getAnswers()
                    .forEach(counted -> answers.put(
                            new AnswerGroup(
                                    new ServiceName(counted.getServiceName()),
                                    counted.getOrder(),
                                    new VersionName(counted.getVersion()),
                                    counted.getRoute(),
                                    counted.getPart()),
                            new AnswerCounts(counted.getSent(), counted.getFailed(), counted.getServed())));
        }
        return answers;
    }

    static PeerMessage.SiteLoad decodeSiteLoad(final WireSiteLoad wire) {
        final Map<UpstreamName, UpstreamUse> uses = new HashMap<>();
        wire.getUses()
                .forEach(use -> uses.put(
                        new UpstreamName(use.getUpstream()),
                        new UpstreamUse(use.getRequests(), use.getTokens(), use.getArrivals())));
        final Map<TeamName, Double> spent = new HashMap<>();
        wire.getSpent().forEach((team, units) -> spent.put(new TeamName(team), units));
        final Map<PromptPart, PromptEvidence> prompts = new HashMap<>();
        if (wire.isSetPrompts()) {
            wire.getPrompts().forEach(part -> prompts.put(new PromptPart(part.getPart()), decodeEvidence(part)));
        }
        final Set<UpstreamStart> leaving = new HashSet<>();
        if (wire.isSetLeaving()) {
            wire.getLeaving()
                    .forEach(start -> leaving.add(new UpstreamStart(
                            new UpstreamName(start.getUpstream()), start.getStartedAtMilliseconds())));
        }
        final Map<ServiceUrgency, Demand> queued = new HashMap<>();
        if (wire.isSetQueued()) {
            wire.getQueued()
                    .forEach(demand -> queued.put(
                            new ServiceUrgency(
                                    new ServiceName(demand.getServiceName()), Urgency.nearest(demand.getUrgency())),
                            new Demand(
                                    demand.getQueued(),
                                    demand.getQueuedTokens(),
                                    demand.getArrivedTokens(),
                                    demand.getReleasedTokens())));
        }
        final Map<SpeedKey, SpeedSum> speeds = new HashMap<>();
        if (wire.isSetSpeeds()) {
            wire.getSpeeds().stream().filter(RecordCodec::isKnownKind).forEach(speed -> decodeSpeed(speed, speeds));
        }
        return new PeerMessage.SiteLoad(uses, spent, prompts, leaving, queued, speeds, decodeAnswers(wire));
    }

    private static boolean isKnownKind(final WireSpeed speed) {
        return speed.getKind() >= 0 && speed.getKind() < WorkKind.values().length;
    }

    private static void decodeSpeed(final WireSpeed wire, final Map<SpeedKey, SpeedSum> speeds) {
        final UpstreamStart start =
                new UpstreamStart(new UpstreamName(wire.getUpstream()), wire.getStartedAtMilliseconds());
        speeds.put(
                new SpeedKey(start, WorkKind.values()[wire.getKind()]),
                new SpeedSum(wire.getSamples(), wire.getWeight(), wire.getLogSum(), Instant.EPOCH));
    }

    private static WirePromptEvidence encodeEvidence(final PromptPart part, final PromptEvidence evidence) {
        final WirePromptEvidence wire = new WirePromptEvidence(
                part.identifier(),
                evidence.position(),
                evidence.crashes().stream()
                        .map(crash -> new WirePromptCrash(
                                        crash.start().upstream().value(),
                                        crash.start().startedAtMillis(),
                                        crash.age().toMillis())
                                .setBegun(crash.begun())
                                .setCalls(crash.calls().stream()
                                        .map(RequestIdentifier::value)
                                        .toList()))
                        .toList());
        evidence.servedAge().ifPresent(age -> wire.setServedAgeMilliseconds(age.toMillis()));
        return wire;
    }

    private static PromptEvidence decodeEvidence(final WirePromptEvidence wire) {
        return new PromptEvidence(
                wire.getPosition(),
                wire.getCrashes().stream()
                        .map(crash -> new PromptEvidence.CrashReport(
                                new UpstreamStart(
                                        new UpstreamName(crash.getUpstream()), crash.getStartedAtMilliseconds()),
                                Duration.ofMillis(crash.getAgeMilliseconds()),
                                crash.isBegun(),
                                crash.isSetCalls()
                                        ? crash.getCalls().stream()
                                                .map(RequestIdentifier::new)
                                                .collect(Collectors.toSet())
                                        : Set.of()))
                        .toList(),
                wire.isSetServedAgeMilliseconds()
                        ? Optional.of(Duration.ofMillis(wire.getServedAgeMilliseconds()))
                        : Optional.empty());
    }
}
