package org.lacewingstep.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.peer.wire.WireMessage;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that what instances pass on about rollouts arrives as it was sent. */
class RolloutMessageTest {
    private static final ServiceName SERVICE = new ServiceName("ledger");
    private static final VersionName VERSION = new VersionName("v2");

    @ParameterizedTest
    @MethodSource("changes")
    void changeOfTheStoreArrivesAsSent(final StoreChange change) throws Exception {
        final PeerMessage message =
                new PeerMessage.StoreUpdate(1, new StoreRevision(0, 2), new StoreRevision(0, 3), true, List.of(change));

        assertThat(received(message)).isEqualTo(message);
    }

    private static List<StoreChange> changes() {
        return List.of(
                new StoreChange.RolloutOrdered(new RolloutOrder(SERVICE, VERSION, Duration.ofMillis(12_500), 7)),
                new StoreChange.RolloutWithdrawn(SERVICE),
                new StoreChange.RolloutPlanChanged(
                        new RolloutPlan(
                                SERVICE,
                                VERSION,
                                7,
                                RolloutPlan.Stage.SHIFTING,
                                Instant.ofEpochMilli(1234),
                                new RolloutPlan.Tally(100, 10, 1),
                                new InstanceName("a")),
                        new StoreRevision(0, 9)),
                new StoreChange.UpstreamRegistered(new RegisteredUpstream(
                        new UpstreamName("p"),
                        17,
                        SERVICE,
                        new PeerAddress("10.0.0.9", 8080),
                        new FailureDomainName("here"),
                        UpstreamRole.PLAIN,
                        8,
                        false,
                        Duration.ZERO,
                        VERSION)));
    }

    @ParameterizedTest
    @MethodSource("counts")
    void countsArriveAsSent(final AnswerCounts counts) throws Exception {
        final PeerMessage message = new PeerMessage.SiteLoad(
                Map.of(),
                Map.of(),
                Map.of(),
                Set.of(),
                Map.of(),
                Map.of(),
                Map.of(new AnswerGroup(SERVICE, 7, VERSION, "read", 3), counts));

        assertThat(received(message)).isEqualTo(message);
    }

    private static List<AnswerCounts> counts() {
        return List.of(
                AnswerCounts.NONE,
                AnswerCounts.NONE.plusSent().plusFailed(),
                AnswerCounts.NONE.plusSent().plusServed(Duration.ofMillis(40)).plusServed(Duration.ofSeconds(9)));
    }

    private static PeerMessage received(final PeerMessage message) throws Exception {
        final byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(PeerCodec.encode(message));
        final WireMessage wire = new WireMessage();
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(wire, bytes);
        return PeerCodec.decode(wire);
    }
}
