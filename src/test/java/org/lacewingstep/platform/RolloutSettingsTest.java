package org.lacewingstep.platform;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the bounds of rollouts in the settings of the platform. */
class RolloutSettingsTest {
    private static final String SETTINGS =
            """
            {"node":"a","zone":"here","zones":{"here":"region"},"ip":"127.0.0.1","internalPorts":[7001],
            "listen":{"front":"127.0.0.1:7002","ready":"127.0.0.1:7003"},"platform":{"address":"127.0.0.1:7004"},
            %s
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":50,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":1000,"coldOver":1.5,"coldSlack":5,"leaseMs":3000%s}}""";

    @Test
    void declaredContractPermitsRollouts() {
        final RolloutBounds bounds =
                read("\"contracts\":[\"rollout\"],", ",\"exposeShare\":0.1,\"exposeSlack\":50,\"rollbackMs\":5000");

        assertThat(bounds.share()).isEqualTo(0.1);
        assertThat(bounds.slack()).isEqualTo(50);
        assertThat(bounds.stopLimit()).hasSeconds(5);
        assertThat(bounds.permitRollouts()).isTrue();
    }

    @Test
    void settingsWithoutTheContractPermitNoRollout() {
        assertThat(read("", "")).isEqualTo(RolloutBounds.NONE);
        assertThat(read("\"contracts\":[\"base\"],", ",\"exposeShare\":0.1")).isEqualTo(RolloutBounds.NONE);
    }

    @Test
    void declaredContractNeedsItsBounds() {
        assertThatThrownBy(() -> read("\"contracts\":[\"rollout\"],", ""))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("exposeShare")
                .hasMessageContaining("contract rollout is in force");
    }

    @Test
    void shareAboveOneIsAFault() {
        assertThatThrownBy(() -> read(
                        "\"contracts\":[\"rollout\"],", ",\"exposeShare\":1.1,\"exposeSlack\":50,\"rollbackMs\":5000"))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("exposeShare");
    }

    private static RolloutBounds read(final String contracts, final String bounds) {
        return PlatformSettings.parse("settings", SETTINGS.formatted(contracts, bounds))
                .policy()
                .rollout();
    }
}
