package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against instances that end at their start because a contract and thus its bounds are not in force. */
class SiteContractsTest {
    private static final Map<String, List<String>> BOUNDS = Map.of(
            "tenants", List.of("revokeMs"),
            "drain", List.of("graceS"),
            "retry", List.of("retryBudgetRatio", "budgetWindowS", "retrySlack"),
            "quota", List.of("quotaWindowS", "quotaOver", "quotaSlack"),
            "places", List.of("coldOver", "coldSlack"),
            "engine", List.of("leaseMs"),
            "rollout", List.of("exposeShare", "exposeSlack", "rollbackMs"));

    private final ObjectMapper mapper = new ObjectMapper();

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"tenants", "drain", "retry", "quota", "places", "engine", "rollout"})
    void instanceStartsAndServesWithoutContract(final String contract) throws Exception {
        try (PlatformTestSite site = new PlatformTestSite(folder, text -> without(contract, text))) {
            assertThat(site.send(PlatformTestSite.ONCE).statusCode()).isEqualTo(200);
        }
    }

    private String without(final String contract, final String text) {
        try {
            final ObjectNode root = (ObjectNode) mapper.readTree(text);
            final ArrayNode contracts = root.putArray("contracts");
            BOUNDS.keySet().stream().filter(name -> !name.equals(contract)).forEach(contracts::add);
            BOUNDS.get(contract).forEach(((ObjectNode) root.get("bounds"))::remove);
            return root.toString();
        } catch (final JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
