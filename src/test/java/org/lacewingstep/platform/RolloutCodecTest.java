package org.lacewingstep.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.VersionName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the items of the store that concern rollouts. */
class RolloutCodecTest {
    private static final ServiceName SERVICE = new ServiceName("ledger");
    private static final RolloutPlan PLAN = new RolloutPlan(
            SERVICE,
            new VersionName("v2"),
            7,
            RolloutPlan.Stage.PROBING,
            Instant.ofEpochMilli(1234),
            new RolloutPlan.Tally(10, 2, 1),
            new InstanceName("a"));

    private final ObjectMapper mapper = new ObjectMapper();

    @Test
    void orderIsDecoded() {
        assertThat(decode("op/rollout/ledger", "{\"service\":\"ledger\",\"target\":\"v2\",\"durationS\":12.5}"))
                .contains(new StoreChange.RolloutOrdered(
                        new RolloutOrder(SERVICE, new VersionName("v2"), Duration.ofMillis(12500), 9)));
    }

    @Test
    void removedOrderIsWithdrawn() {
        final ObjectNode item =
                mapper.createObjectNode().put("key", "op/rollout/ledger").put("deleted", true);

        assertThat(PlatformStoreCodec.decode(item, 0)).contains(new StoreChange.RolloutWithdrawn(SERVICE));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "[]", "{\"target\":\"\",\"durationS\":1}", "{\"target\":\"v2\"}", "{\"target\":2}"})
    void invalidOrderConcernsNobody(final String value) {
        assertThat(decode("op/rollout/ledger", value)).isEmpty();
    }

    @Test
    void planIsReadAsWritten() {
        final ObjectNode item = mapper.createObjectNode()
                .put("key", RolloutCodec.planKey(SERVICE))
                .put("value", RolloutCodec.encodePlan(PLAN))
                .put("revision", 9);

        assertThat(PlatformStoreCodec.decode(item, 0))
                .contains(new StoreChange.RolloutPlanChanged(PLAN, new StoreRevision(0, 9)));
    }

    @ParameterizedTest
    @CsvSource({"PROBING,running", "SHIFTING,running", "SUCCEEDED,succeeded", "ROLLED_BACK,rolled_back"})
    void operatorsReadStateAndTarget(final RolloutPlan.Stage stage, final String state) throws Exception {
        final String status = RolloutCodec.encodeStatus(PLAN.with(stage, PLAN.tally(), PLAN.author()));

        assertThat(RolloutCodec.statusKey(SERVICE)).isEqualTo("status/rollout/ledger");
        assertThat(mapper.readTree(Base64.getDecoder().decode(status)))
                .isEqualTo(mapper.createObjectNode().put("state", state).put("target", "v2"));
    }

    private Optional<StoreChange> decode(final String key, final String value) {
        return PlatformStoreCodec.decode(
                mapper.createObjectNode()
                        .put("key", key)
                        .put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)))
                        .put("revision", 9),
                0);
    }
}
