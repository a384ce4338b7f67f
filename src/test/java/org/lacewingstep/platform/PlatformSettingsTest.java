package org.lacewingstep.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.SitePolicy;
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
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":140000,"coldOver":1.5,"coldSlack":5,"leaseMs":3000,
            "exposeShare":0.1,"exposeSlack":50,"rollbackMs":5000}}""";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The contracts that have bounds. */
    private static final List<String> BOUNDED =
            List.of("drain", "engine", "places", "quota", "retry", "rollout", "tenants");

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

    @ParameterizedTest
    @MethodSource("contractsOutOfForce")
    void absentBoundsTakeTheirDefaultsWhereTheirContractsAreNotInForce(final Set<String> out) throws Exception {
        final PlatformSettings settings = PlatformSettings.parse("node.json", settings(out, out));

        assertThat(settings.contracts().notInForce()).isEqualTo(out);
        final SitePolicy full = PlatformSettings.parse("node.json", settings(Set.of(), Set.of()))
                .policy();
        assertThat(settings.policy().coldExcess()).isEqualTo(out.contains("places") ? 1 : full.coldExcess());
        assertThat(settings.policy().coldSlack()).isEqualTo(out.contains("places") ? 0 : full.coldSlack());
        assertThat(settings.policy().retryRatio()).isEqualTo(out.contains("retry") ? 0.1 : full.retryRatio());
        assertThat(settings.policy().rateSlack()).isEqualTo(out.contains("quota") ? 0 : full.rateSlack());
        assertThat(settings.policy().rollout().permitRollouts()).isEqualTo(!out.contains("rollout"));
        assertThat(settings.policy().withdrawalLimit()).hasSeconds(5);
    }

    @ParameterizedTest
    @EnumSource(SiteBound.class)
    void absentBoundOfContractInForceIsFaultThatNamesTheContract(final SiteBound bound) throws Exception {
        final ObjectNode root = (ObjectNode) MAPPER.readTree(settings(Set.of(), Set.of()));
        ((ObjectNode) root.get("bounds")).remove(bound.key());

        assertThatThrownBy(() -> PlatformSettings.parse("node.json", root.toString()))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("bounds." + bound.key() + ":")
                .hasMessageContaining("contract " + bound.contract());
    }

    @ParameterizedTest
    @EnumSource(SiteBound.class)
    void presentBoundIsCheckedWhereItsContractIsNotInForce(final SiteBound bound) throws Exception {
        final ObjectNode root = (ObjectNode) MAPPER.readTree(settings(Set.of(bound.contract()), Set.of()));
        ((ObjectNode) root.get("bounds")).put(bound.key(), -1);

        assertThatThrownBy(() -> PlatformSettings.parse("node.json", root.toString()))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("bounds." + bound.key() + ":");
    }

    @Test
    void unknownContractIsListedAndIgnored() {
        final SiteContracts contracts = PlatformSettings.parse(
                        "node.json", TEXT.formatted(1, 2, 3).replace("\"node\"", "\"contracts\":[\"novel\"],\"node\""))
                .contracts();

        assertThat(contracts.unknown()).containsExactly("novel");
        assertThat(contracts.inForce()).isEmpty();
    }

    private static List<Set<String>> contractsOutOfForce() {
        final List<Set<String>> sets = new ArrayList<>();
        for (final String first : BOUNDED) {
            for (final String second : BOUNDED) {
                sets.add(new TreeSet<>(List.of(first, second)));
            }
        }
        sets.add(new TreeSet<>(BOUNDED));
        sets.add(Set.of());
        return sets.stream().distinct().toList();
    }

    /** Writes settings that declare all contracts with bounds but some, without the bounds of some contracts. */
    private static String settings(final Set<String> undeclared, final Set<String> withoutBounds) throws Exception {
        final ObjectNode root = (ObjectNode) MAPPER.readTree(TEXT.formatted(1, 2, 3));
        final ArrayNode contracts = root.putArray("contracts").add("base").add("platform");
        BOUNDED.stream().filter(name -> !undeclared.contains(name)).forEach(contracts::add);
        for (final SiteBound bound : SiteBound.values()) {
            if (withoutBounds.contains(bound.contract())) {
                ((ObjectNode) root.get("bounds")).remove(bound.key());
            }
        }
        return root.toString();
    }
}
