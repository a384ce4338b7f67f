package org.lacewingstep.platform;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests parsing and validation of the platform's settings file. */
class PlatformSettingsTest {
    /** Settings as the platform writes them, with an unknown field. */
    static final String TEXT =
            """
            {"node":"front-a-1","ip":"127.0.0.1","internalPorts":[7600,7615],
            "zone":"a","zones":{"a":"r","b":"r"},"bootstrap":true,"unknown":[1],
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":52,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":140000,"coldOver":1.5,"coldSlack":5,"leaseMs":3000}}""";

    @Test
    void parsesTheFile() {
        final PlatformSettings settings = PlatformSettings.parse("node.json", TEXT.formatted(1, 2, 3));

        assertThat(settings.callerAddress()).isEqualTo(new PeerAddress("127.0.0.1", 1));
        assertThat(settings.storeAddress()).isEqualTo(new PeerAddress("127.0.0.1", 3));
        assertThat(settings.firstStart()).isTrue();
        assertThat(settings.policy().regions()).containsEntry(new FailureDomainName("b"), new RegionName("r"));
        assertThat(settings.policy().withdrawalLimit()).hasSeconds(5);
    }

    @Test
    void reportsEveryFaultAtOnce() {
        assertThatThrownBy(() -> PlatformSettings.parse(
                        "node.json", "{\"node\":\"a\",\"bounds\":{\"revokeMs\":-1},\"listen\":{\"front\":\"x\"}}"))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("zone:")
                .hasMessageContaining("bounds.revokeMs:")
                .hasMessageContaining("bounds.graceS:")
                .hasMessageContaining("listen.front:")
                .hasMessageContaining("platform.address:");
    }

    @Test
    void rejectsTextThatIsNotJson() {
        assertThatThrownBy(() -> PlatformSettings.parse("node.json", "node: a"))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("is not JSON");
    }
}
