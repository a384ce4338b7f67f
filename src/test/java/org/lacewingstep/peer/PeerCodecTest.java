package org.lacewingstep.peer;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PromptEvidence;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.Access;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Service;
import org.lacewingstep.domain.ServiceKind;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.peer.wire.WireHello;
import org.lacewingstep.peer.wire.WireMessage;
import org.lacewingstep.peer.wire.WireSiteLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests {@link PeerCodec}. */
class PeerCodecTest {
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new RequestIdentifier("a-1"), 2);
    private static final CellName CELL = new CellName("pattern#0");
    private static final Incarnation OWNER = new Incarnation(new InstanceName("a"), 7);
    private static final Reservation RESERVATION =
            new Reservation(ATTEMPT, OWNER, CELL, Optional.of(new UpstreamName("p")), new UpstreamName("d"), 3);
    private static final TeamName TEAM = new TeamName("weavers");

    @Test
    void roundTripsEveryMessage() throws TException {
        for (final PeerMessage message : sampleMessages()) {
            final byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(PeerCodec.encode(message));
            final WireMessage wire = new WireMessage();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(wire, bytes);
            assertThat(PeerCodec.decode(wire)).isEqualTo(message);
        }
    }

    @Test
    void samplesCoverEveryMessageType() {
        assertThat(sampleMessages().stream().map(Object::getClass).distinct().count())
                .isEqualTo(Arrays.stream(PeerMessage.class.getPermittedSubclasses())
                        .count());
    }

    @Test
    void loadOfAnInstanceThatReportsNoPromptsIsDecoded() {
        final WireMessage load = WireMessage.siteLoad(new WireSiteLoad(List.of(), Map.of("t", 2.0)));

        assertThat(PeerCodec.decode(load))
                .isEqualTo(new PeerMessage.SiteLoad(Map.of(), Map.of(new TeamName("t"), 2.0), Map.of(), Set.of()));
    }

    @Test
    void rejectsGreetingOnEstablishedConnection() {
        final WireMessage hello = WireMessage.hello(new WireHello("a", 1));
        assertThatThrownBy(() -> PeerCodec.decode(hello)).hasMessageContaining("greeting");
    }

    private static List<StoreChange> sampleChanges(final Member member) {
        final UpstreamName name = new UpstreamName("p");
        return List.of(
                new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                        name,
                        17,
                        new ServiceName("s"),
                        new PeerAddress("10.0.0.9", 8080),
                        member.failureDomain(),
                        UpstreamRole.DECODE,
                        8,
                        true,
                        Duration.ofMillis(250))),
                new StoreChange.UpstreamUnregistered(name),
                new StoreChange.InstanceRegistered(member),
                new StoreChange.InstanceUnregistered(member.name()),
                new StoreChange.DomainOutOfService(member.failureDomain()),
                new StoreChange.DomainInService(member.failureDomain()),
                new StoreChange.RolePlanChanged(
                        new RolePlan(member.name(), Map.of(name, new RolePlan.Change(UpstreamRole.PREFILL, 17))),
                        new StoreRevision(0, 12)));
    }

    private static Map<PromptPart, PromptEvidence> samplePrompts() {
        final PromptEvidence.CrashReport crash = new PromptEvidence.CrashReport(
                new UpstreamStart(new UpstreamName("p"), 17),
                Duration.ofMillis(350),
                true,
                Set.of(new RequestIdentifier("r")));
        return Map.of(
                new PromptPart("5c1e07a2"),
                new PromptEvidence(1, List.of(crash), Optional.empty()),
                new PromptPart("91bd3f06"),
                new PromptEvidence(0, List.of(), Optional.of(Duration.ofMillis(20))));
    }

    private static List<PeerMessage> sampleMessages() {
        final Member member = new Member(OWNER, new PeerAddress("10.0.0.1", 7000), new FailureDomainName("Rundu"));
        final Service service =
                new Service(new ServiceName("s"), new ServiceKind.Plain("/s", false, 1), new Access.OpenToAll());
        final Configuration configuration =
                new Configuration(3, Map.of(), Map.of(service.name(), service), Map.of(), Map.of(), Map.of());
        return List.of(
                new PeerMessage.SiteLoad(
                        Map.of(new UpstreamName("p"), new UpstreamUse(2, 300, 4)),
                        Map.of(TEAM, 1.5),
                        samplePrompts(),
                        Set.of(new UpstreamStart(new UpstreamName("p"), 17))),
                new PeerMessage.Heartbeat(1, 2, 3, 4, 5, Optional.of(Duration.ofMillis(6))),
                new PeerMessage.Heartbeat(1, 2, 3, 4, 5, Optional.empty()),
                new PeerMessage.StoreQuery(8, new StoreRevision(0, 900)),
                new PeerMessage.StoreUpdate(
                        8, new StoreRevision(0, 17), new StoreRevision(0, 910), true, sampleChanges(member)),
                new PeerMessage.UpstreamDepartures(new StoreRevision(0, 911), sampleChanges(member)),
                new PeerMessage.LoadDigest(Map.of(
                        OWNER, new PeerMessage.SiteLoad(Map.of(), Map.of(TEAM, 2.5), samplePrompts(), Set.of()))),
                new PeerMessage.EpochAcknowledged(4, List.of(RESERVATION)),
                new PeerMessage.TokenRequest(1, TEAM, 1, 500, true, Duration.ofMillis(20)),
                new PeerMessage.TokenResponse(1, PeerMessage.TokenVerdict.REFUSED, 0, 0, Duration.ofMillis(9)),
                new PeerMessage.TokenRefund(TEAM, 0, 12, 30),
                new PeerMessage.BudgetHandover(5, TEAM, 1, 12.5),
                new PeerMessage.PlacementRequest(
                        ATTEMPT, CELL, Optional.of(TEAM), 900, 2, Set.of(new UpstreamName("d")), Duration.ofSeconds(3)),
                new PeerMessage.PlacementResponse(
                        ATTEMPT, PeerMessage.PlacementVerdict.RESERVED, Optional.of(RESERVATION)),
                new PeerMessage.PlacementRelease(ATTEMPT, CELL, Optional.of(new UpstreamName("d")), false),
                new PeerMessage.ReservationAudit(List.of(ATTEMPT)),
                new PeerMessage.ReservationStatus(List.of(ATTEMPT), List.of()),
                new PeerMessage.RosterRequest(),
                new PeerMessage.RosterCopy(new Roster(2, List.of(member), List.of(member.failureDomain())), 9),
                new PeerMessage.ConfigurationRequest(),
                new PeerMessage.ConfigurationCopy(configuration));
    }
}
