package org.lacewingstep.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests {@link InstanceSettings} and {@link InventoryCompiler}. */
class SettingsTest {
    private static final String VALID_SETTINGS =
            """
            [instance]
            name = "a"
            failure_domain = "Rundu"
            caller_address = "127.0.0.1:8080"
            operator_address = "127.0.0.1:8081"
            peer_address = "127.0.0.1:8082"
            [platform]
            store = "http://127.0.0.1:2379"
            instance_list = "http://127.0.0.1:2380/instances"
            [policy]
            heartbeat_interval = "250ms"
            """;
    private static final String INVENTORY =
            """
            [[failure_domain]]
            name = "Rundu"
            [[team]]
            name = "weavers"
            tokens_per_second = 100
            burst_tokens = 1000
            [[service]]
            name = "ledger"
            path = "/ledger"
            [[upstream]]
            name = "ledger-0"
            service = "ledger"
            role = "plain"
            address = "127.0.0.1:9000"
            failure_domain = "Rundu"
            memory_pieces = 8
            """;
    private static final String RULES =
            """
            [[route]]
            service = "ledger"
            teams = ["weavers"]
            """;

    @TempDir
    private Path folder;

    @Test
    void readsSettings() throws IOException {
        final InstanceSettings settings = InstanceSettings.read(write("settings.toml", VALID_SETTINGS));
        assertThat(settings.policy().heartbeatInterval()).hasMillis(250);
        assertThat(settings.callerAddress().port()).isEqualTo(8080);
    }

    @Test
    void reportsEveryFaultOfInstanceSettings() throws IOException {
        final String invalidSettings = VALID_SETTINGS
                        .replace("127.0.0.1:8080", "nowhere")
                        .replace("250ms", "soon")
                        .replace("name = \"a\"", "name = 3")
                + "mystery = 1\n";
        assertThatThrownBy(() -> InstanceSettings.read(write("settings.toml", invalidSettings)))
                .isInstanceOfSatisfying(RouterException.class, failure -> assertThat(failure.code())
                        .isEqualTo(ErrorCode.SETTINGS_INVALID))
                .hasMessageContaining("instance.caller_address: ")
                .hasMessageContaining("instance.name: must be a text")
                .hasMessageContaining("policy.heartbeat_interval: must be a duration")
                .hasMessageContaining("policy.mystery: is unknown");
    }

    @Test
    void reportsLineOfInvalidToml() {
        assertThatThrownBy(() -> InstanceSettings.read(write("settings.toml", "[instance]\nname = = 3\n")))
                .hasMessageContaining("line 2");
    }

    @Test
    void compilesAnInventory() throws IOException {
        final Configuration configuration = compile(INVENTORY, RULES, Configuration.EMPTY);
        assertThat(configuration.generation()).isEqualTo(1);
        assertThat(configuration.upstreams()).hasSize(1);
    }

    @Test
    void keepsFailureDomainOutOfService() throws IOException {
        final FailureDomainName name = new FailureDomainName("Rundu");
        final Configuration first = compile(INVENTORY, RULES, Configuration.EMPTY);
        final Configuration out = first.withFailureDomains(Map.of(name, new FailureDomain(name, true)));
        assertThat(compile(INVENTORY, RULES, out).failureDomains().get(name).takenOut())
                .isTrue();
    }

    @Test
    void reportsEveryFaultOfInventoryAndRules() {
        final String inventory = INVENTORY
                .replace("role = \"plain\"", "role = \"decode\"")
                .replace("failure_domain = \"Rundu\"", "failure_domain = \"Nowhere\"")
                .replace("burst_tokens = 1000", "burst_tokens = 10");
        final String rules = RULES + "[[route]]\nservice = \"other\"\nteams = [\"strangers\"]\n";
        assertThatThrownBy(() -> compile(inventory, rules, Configuration.EMPTY))
                .hasMessageContaining("upstream[0].role: must be \"plain\"")
                .hasMessageContaining("upstream[0].failure_domain: names the unknown failure domain Nowhere")
                .hasMessageContaining("team[0].burst_tokens: must be a whole number from 200")
                .hasMessageContaining("route[1].teams: names the unknown team 'strangers'")
                .hasMessageContaining("names the unknown service other");
    }

    @Test
    void reportsATableInPlaceOfAListOfTables() {
        assertThatThrownBy(() -> compile(INVENTORY.replaceFirst("\\[\\[team]]", "[team]"), RULES, Configuration.EMPTY))
                .hasMessageContaining("must be a list of tables, each under [[team]]");
    }

    private Configuration compile(final String inventory, final String rules, final Configuration current)
            throws IOException {
        return InventoryCompiler.compile(write("inventory.toml", inventory), write("rules.toml", rules), current);
    }

    private Path write(final String name, final String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
