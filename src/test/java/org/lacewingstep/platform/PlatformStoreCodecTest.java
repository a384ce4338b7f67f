package org.lacewingstep.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.Precedence;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests decoding of the items of the platform's store. */
class PlatformStoreCodecTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String UPSTREAM_ENTRY =
            """
            {"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining",
            "coldRemainingMs":250,"stage":"decode","seq":4,"born":17}""";
    private static final String ROUTING_DOCUMENT =
            """
            {"version":7,"routes":[
            {"name":"one","host":"a.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":14000,
            "targetLatencyMs":900,"priority":1,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"s"},
            {"name":"two","host":"a.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":1500,"anonymous":true,
            "targetLatencyMs":300,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
            "services":[{"name":"s","maxConnections":610,"coldPerS":16.0}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
            "tenants":[{"name":"team","apiKeys":["k1","k2"],"unit":"token_stream","plainTokens":200,
            "ratePerS":49185,"burst":100},{"name":"press","apiKeys":["k3"],"priority":2}]}""";

    @Test
    void decodesAnUpstream() {
        final StoreChange change = PlatformStoreCodec.decode(written("servers/i-1", UPSTREAM_ENTRY), 0)
                .orElseThrow();

        assertThat(change).isInstanceOfSatisfying(StoreChange.UpstreamRegistered.class, registered -> {
            assertThat(registered.upstream().name()).isEqualTo(new UpstreamName("i-1"));
            assertThat(registered.upstream().startedAtMillis()).isEqualTo(17);
            assertThat(registered.upstream().role()).isEqualTo(UpstreamRole.DECODE);
            assertThat(registered.upstream().draining()).isTrue();
            assertThat(registered.upstream().coldFor()).isEqualTo(Duration.ofMillis(250));
        });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "not json",
                "[]",
                "{}",
                "{\"service\":5,\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\"}",
                "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\"}",
                "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":\"8\",\"state\":\"ready\"}",
                "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":8,\"state\":\"odd\"}"
            })
    void anInvalidEntryUnregistersTheUpstream(final String value) {
        assertThat(PlatformStoreCodec.decode(written("servers/i-1", value), 0))
                .contains(new StoreChange.UpstreamUnregistered(new UpstreamName("i-1")));
    }

    @ParameterizedTest
    @CsvSource({
        "4294967304, 0, 1",
        "1e999999999, 0, 1",
        "8, 1e999999999, 1",
        "8, 99999999999999999999, 1",
        "8, -1, 1",
        "8, '\"250\"', 1",
        "8, 0, 1e999999999",
        "8, 0, 99999999999999999999",
        "8, 0, 1.5",
        "8, 0, -1",
        "8, 0, '\"1\"'"
    })
    void numberOutOfRangeUnregistersTheUpstream(final String slots, final String coldFor, final String born) {
        final String entry =
                """
                {"service":"s","address":"10.0.0.9:80","zone":"z","slots":%s,"state":"ready","coldRemainingMs":%s,
                "born":%s}"""
                        .formatted(slots, coldFor, born);

        assertThat(PlatformStoreCodec.decode(written("servers/i-1", entry), 0))
                .contains(new StoreChange.UpstreamUnregistered(new UpstreamName("i-1")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"servers/a\nb", "servers/a\u0000", "servers/\ud800", "servers/\u00e9"})
    void upstreamWhoseNameFitsInNoHeaderIsIgnored(final String key) {
        assertThat(PlatformStoreCodec.decode(written(key, UPSTREAM_ENTRY), 0)).isEmpty();
        assertThat(PlatformStoreCodec.decode(deleted(key), 0)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"nowhere.example:80", "10.0.0.999:80", "10.0.0.9 :80", "[::1:80", "a/b:80", "1:80"})
    void hostThatWouldHaveToBeResolvedUnregistersTheUpstream(final String address) {
        assertThat(PlatformStoreCodec.decode(
                        written("servers/i-1", UPSTREAM_ENTRY.replace("10.0.0.9:8080", address)), 0))
                .contains(new StoreChange.UpstreamUnregistered(new UpstreamName("i-1")));
    }

    @Test
    void addressesOfVersionSixAreRead() {
        assertThat(PlatformStoreCodec.decode(
                        written("servers/i-1", UPSTREAM_ENTRY.replace("10.0.0.9:8080", "[::1]:8080")), 0))
                .containsInstanceOf(StoreChange.UpstreamRegistered.class);
    }

    @Test
    void entryOfAMegabyteUnregistersTheUpstream() {
        final String entry = UPSTREAM_ENTRY.replace("}", ",\"more\":[" + "[],".repeat(250_000) + "[]]}");

        assertThat(PlatformStoreCodec.decode(written("servers/i-1", entry), 0))
                .contains(new StoreChange.UpstreamUnregistered(new UpstreamName("i-1")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"servers/ ", "servers/\u2003", "servers/", "op/evacuate/ ", "lacewingstep/instances/ "})
    void keyWithoutANameIsIgnored(final String key) {
        assertThat(PlatformStoreCodec.decode(written(key, UPSTREAM_ENTRY), 0)).isEmpty();
        assertThat(PlatformStoreCodec.decode(deleted(key), 0)).isEmpty();
    }

    @Test
    void aRolePlanIsReadAsItWasWritten() throws Exception {
        final RolePlan plan = new RolePlan(
                new InstanceName("front-1"),
                Map.of(
                        new UpstreamName("i-1"), new RolePlan.Change(UpstreamRole.DECODE, 17),
                        new UpstreamName("i-2"), new RolePlan.Change(UpstreamRole.PREFILL, 18)));
        final ObjectNode item = MAPPER.createObjectNode()
                .put("key", PlatformStoreCodec.ROLE_PLAN_KEY)
                .put("value", PlatformStoreCodec.encodeRolePlan(plan))
                .put("revision", 9);

        assertThat(PlatformStoreCodec.decode(item, 0))
                .contains(new StoreChange.RolePlanChanged(plan, new StoreRevision(0, 9)));
    }

    @Test
    void anInvalidRolePlanIsIgnored() {
        assertThat(PlatformStoreCodec.decode(written(PlatformStoreCodec.ROLE_PLAN_KEY, "{\"changes\":[]}"), 0))
                .isEmpty();
    }

    @Test
    void decodesDeletions() {
        assertThat(PlatformStoreCodec.decode(deleted("servers/i-1"), 0))
                .contains(new StoreChange.UpstreamUnregistered(new UpstreamName("i-1")));
        assertThat(PlatformStoreCodec.decode(deleted("op/evacuate/z"), 0))
                .contains(new StoreChange.DomainInService(new FailureDomainName("z")));
        assertThat(PlatformStoreCodec.decode(deleted("op/config"), 0)).isEqualTo(Optional.empty());
    }

    @Test
    void decodesTheRoutingDocument() {
        final StoreChange change = PlatformStoreCodec.decode(written("op/config", ROUTING_DOCUMENT), 0)
                .orElseThrow();

        final RoutingTable table = ((StoreChange.TableWritten) change).table();
        final Route stream = table.route("a.example", "/a/x").orElseThrow();
        final Route call = table.route("a.example", "/b/x").orElseThrow();
        assertThat(table.version()).isEqualTo(7);
        assertThat(stream.kind()).isEqualTo(new RouteKind.EventStream(true, Duration.ofMillis(300)));
        assertThat(stream.attemptLimit()).isEqualTo(2);
        assertThat(call.kind()).isEqualTo(new RouteKind.AtMostOnce());
        assertThat(call.open()).isTrue();
        assertThat(call.targets()).hasSize(2);
        assertThat(call.attemptLimit()).isEqualTo(1);
        assertThat(table.keys()).containsEntry(KeyDigest.of("k2"), new TeamName("team"));
        assertThat(table.teams().get(new TeamName("team")).unitsPerSecond()).isEqualTo(49_185);
        assertThat(table.services().get(new ServiceName("s")).connectionLimit()).isEqualTo(610);
        assertThat(stream.priority()).isEqualTo(1);
        assertThat(call.priority()).isEqualTo(Precedence.DEFAULT_PRIORITY);
        assertThat(table.teams().get(new TeamName("team")).priority()).isEqualTo(Precedence.DEFAULT_PRIORITY);
        assertThat(table.teams().get(new TeamName("press")).priority()).isEqualTo(2);
        assertThat(table.isRanked(new ServiceName("t"))).isFalse();
    }

    private static ObjectNode written(final String key, final String value) {
        final String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return MAPPER.createObjectNode().put("key", key).put("value", encoded).put("revision", 12);
    }

    private static ObjectNode deleted(final String key) {
        return MAPPER.createObjectNode().put("key", key).put("revision", 13).put("deleted", true);
    }
}
