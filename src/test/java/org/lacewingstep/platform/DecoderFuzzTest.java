package org.lacewingstep.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.peer.PeerCodec;
import org.lacewingstep.peer.wire.WireMessage;
import org.lacewingstep.settings.InventoryCompiler;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that foreign bytes are rejected with the errors that callers of the decoders expect, and with no others. */
class DecoderFuzzTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NESTING = 20_000;
    private static final int TRIES = 2000;
    private static final String ROUTING =
            """
            {"version":7,"routes":[{"name":"one","host":"a.example","pathPrefix":"/a/","kind":"streaming",
            "timeoutMs":14000,"targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"s",
            "trafficSplit":[{"service":"s","weight":90}]}],"services":[{"name":"s","maxConnections":610}],
            "limits":{"maxBodyBytes":4194304},"tenants":[{"name":"team","apiKeys":["k1"],"ratePerS":49185}]}""";
    private static final String UPSTREAM =
            """
            {"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","stage":"decode","born":17}""";
    private static final String PLAN = "{\"author\":\"a\",\"changes\":{\"i-1\":{\"stage\":\"decode\",\"born\":1}}}";
    private static final String SETTINGS =
            """
            {"node":"n","ip":"127.0.0.1","internalPorts":[7000],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2"},"platform":{"address":"127.0.0.1:3"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":52,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":140000,"coldOver":1.5,"coldSlack":5,"leaseMs":3000}}""";
    private static final String INVENTORY =
            """
            [[failure_domain]]
            name = "Rundu"
            [[team]]
            name = "weavers"
            tokens_per_second = 500
            burst_tokens = 1000
            """;

    @Property(tries = TRIES, seed = "1", shrinking = ShrinkingMode.OFF)
    void peerMessages(@ForAll @Size(max = 200) final byte[] bytes) {
        try {
            final WireMessage wire = new WireMessage();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(wire, bytes);
            if (wire.isSet()) {
                PeerCodec.decode(wire);
            }
        } catch (final TException | RuntimeException rejected) {
            // The receiver of peer messages closes the connection on these. Any other throwable fails the test, such as
            // an error because a claimed length exhausts the memory.
            assertThat(rejected).isInstanceOf(Exception.class);
        }
    }

    @Property(tries = TRIES, seed = "2", shrinking = ShrinkingMode.OFF)
    void itemsOfTheStore(
            @ForAll @IntRange(max = 3) final int document,
            @ForAll @IntRange(max = 600) final int at,
            @ForAll @Size(max = 6) final byte[] replacement) {
        final String[] keys = {"op/config", "servers/i-1", PlatformStoreCodec.ROLE_PLAN_KEY, "lacewingstep/instances/a"
        };
        final String[] values = {ROUTING, UPSTREAM, PLAN, "{\"peerAddress\":\"a:1\",\"failureDomain\":\"z\"}"};
        final String value = Base64.getEncoder().encodeToString(mutate(values[document], at, replacement));

        assertThat(PlatformStoreCodec.decode(
                        MAPPER.createObjectNode()
                                .put("key", keys[document])
                                .put("value", value)
                                .put("revision", 1),
                        0))
                .isNotNull();
    }

    @Property(tries = TRIES, seed = "6", shrinking = ShrinkingMode.OFF)
    void oddKeysAndFieldsOfTheStore(
            @ForAll @IntRange(max = 4) final int prefix,
            @ForAll @Size(max = 12) final String name,
            @ForAll @IntRange(max = 8) final int field,
            @ForAll @IntRange(max = 14) final int odd) {
        final String[] prefixes = {
            "servers/", "lacewingstep/instances/", "op/evacuate/", "op/config", "lacewingstep/roles"
        };
        final String[] fields = {
            "service", "address", "zone", "slots", "state", "stage", "born", "coldRemainingMs", "changes"
        };
        final String[] values = {
            "[".repeat(NESTING),
            "{\"a\":".repeat(NESTING),
            "9".repeat(5000),
            "9".repeat(900),
            "-1",
            "1e999999999",
            "-1e999999999",
            "1e-999999999",
            "NaN",
            "null",
            "\"10.0.0.9:0\"",
            "\"10.0.0.9:65536\"",
            "\"10.0.0.9:99999999999\"",
            "\"" + "a".repeat(100_000) + "\"",
            "[" + "[],".repeat(10_000) + "[]]"
        };
        // The last of two fields with the same name counts.
        final String value = UPSTREAM.replace("}", ",\"%s\":%s}".formatted(fields[field], values[odd]));

        assertThat(PlatformStoreCodec.decode(
                        MAPPER.createObjectNode()
                                .put("key", prefixes[prefix] + name)
                                .put(
                                        "value",
                                        Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)))
                                .put("revision", 1),
                        0))
                .isNotNull();
    }

    @Property(tries = TRIES, seed = "3", shrinking = ShrinkingMode.OFF)
    void settings(@ForAll @IntRange(max = 500) final int at, @ForAll @Size(max = 6) final byte[] replacement) {
        try {
            PlatformSettings.parse("node.json", text(mutate(SETTINGS, at, replacement)));
        } catch (final RouterException rejected) {
            assertThat(rejected.code()).isIn(ErrorCode.SETTINGS_INVALID, ErrorCode.ARGUMENT_INVALID);
        }
    }

    @Property(tries = 300, seed = "4", shrinking = ShrinkingMode.OFF)
    void inventories(@ForAll @IntRange(max = 130) final int at, @ForAll @Size(max = 6) final byte[] replacement)
            throws IOException {
        final Path inventory = Files.createTempFile("inventory", ".toml");
        final Path rules = Files.createTempFile("rules", ".toml");
        try {
            Files.write(inventory, mutate(INVENTORY, at, replacement));
            InventoryCompiler.compile(inventory, rules, Configuration.EMPTY);
        } catch (final RouterException rejected) {
            assertThat(rejected.code()).isIn(ErrorCode.CONFIGURATION_INVALID, ErrorCode.SETTINGS_INVALID);
        } finally {
            Files.delete(inventory);
            Files.delete(rules);
        }
    }

    @Property(tries = TRIES, seed = "5", shrinking = ShrinkingMode.OFF)
    void responsesToTheRouter(@ForAll @Size(max = 40) final byte[] body) {
        final PlatformProtocol protocol = new PlatformProtocol();

        assertThat(protocol.decodePrefillResponse(new PeerAddress("a", 1), body))
                .isNotNull();
        assertThat(protocol.decodeReservation(body)).isNotNull();
    }

    private static byte[] mutate(final String document, final int at, final byte[] replacement) {
        final byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < replacement.length; i++) {
            bytes[(at + i) % bytes.length] = replacement[i];
        }
        return bytes;
    }

    private static String text(final byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
