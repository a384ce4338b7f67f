package org.lacewingstep.command;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingstep.standin.PlatformStoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/** Tests over real sockets that an instance follows the registry of upstreams after an invalid entry in it. */
class InvalidEntryTest {
    private static final int CALLS = 10;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int NESTING = 100_000;
    private static final String SETTINGS =
            """
            {"node":"front-a-1","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":60000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":5200,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000}}""";
    private static final String TABLE =
            """
            {"version":1,"routes":[
            {"name":"once","host":"127.0.0.1","pathPrefix":"/once/","kind":"unsafe","timeoutMs":20000,
            "targetLatencyMs":300,"maxAttempts":1,"anonymous":true,"service":"ledger"}],
            "services":[{"name":"ledger","maxConnections":500,"coldPerS":0}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},"tenants":[]}""";
    private static final String UPSTREAM =
            """
            {"service":"ledger","address":%s,"zone":"a","version":"v1","slots":%s,"state":"ready",
            "coldRemainingMs":%s,"seq":1,"born":%s}""";

    private static int callerPort;
    private static HttpClient client;
    private static int metricsPort;
    private static PlatformProcess process;
    private static PlatformStoreStandIn store;
    private static ScriptedUpstream upstream;

    @TempDir
    private static Path folder;

    @BeforeAll
    static void start() throws Exception {
        LogSetup.configure(false, "error");
        client = HttpClient.newHttpClient();
        store = new PlatformStoreStandIn();
        upstream = new ScriptedUpstream();
        callerPort = freePort();
        metricsPort = freePort();
        store.put("op/config", TABLE);
        store.put("servers/i-1", soundEntry());
        final Path file = Files.writeString(
                folder.resolve("node.json"), SETTINGS.formatted(freePort(), callerPort, freePort(), store.port()));
        process = new PlatformProcess(file, metricsPort);
        process.start();
        await(() -> send().statusCode() == 200);
    }

    @AfterAll
    static void stop() throws Exception {
        process.close();
        store.close();
        upstream.close();
    }

    @AfterEach
    void reset() throws Exception {
        Stream.concat(
                        Stream.of("servers/watched", "servers/read"),
                        invalidEntries().map(entry -> (String) entry.get()[1]))
                .distinct()
                .forEach(store::delete);
        store.dropHistory();
        await(() -> upstreams().equals(List.of("i-1")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidEntries")
    void registryIsFollowedAfterAnInvalidEntry(final String description, final String key, final String value)
            throws Exception {
        store.putEncoded(key, value);
        store.put("servers/watched", soundEntry());
        await(() -> upstreams().contains("watched"));
        assertOnlySoundUpstreamsServe();

        store.dropHistory();
        store.put("servers/read", soundEntry());
        await(() -> upstreams().contains("read"));
        assertOnlySoundUpstreamsServe();
    }

    private static Stream<Arguments> invalidEntries() {
        return Stream.of(
                invalid("nested deeply", "servers/odd", entry("[".repeat(NESTING), "8", "0", "1")),
                invalid("number with many digits", "servers/odd", entry(address(80), "9".repeat(5000), "0", "1")),
                invalid("number with a huge exponent", "servers/odd", entry(address(80), "8", "1e999999999", "1")),
                invalid("name with a line feed", "servers/o\ndd", soundEntry()),
                invalid("unknown host", "servers/odd", entry("\"nowhere.example:80\"", "8", "0", "1")),
                invalid("entry of a megabyte", "servers/odd", "[" + "[],".repeat(250_000) + "[]]"),
                invalid("port out of range", "servers/odd", entry(address(65_536), "8", "0", "1")),
                invalid("port beyond any integer", "servers/odd", entry("\"127.0.0.1:99999999999\"", "8", "0", "1")),
                invalid("port zero", "servers/odd", entry(address(0), "8", "0", "1")),
                invalid("not JSON", "servers/odd", "\u0000\ufffd{"),
                arguments("not base64", "servers/odd", "*"),
                invalid("blank name", "servers/ ", soundEntry()),
                invalid("no name", "servers/", soundEntry()),
                invalid("nested presence", "lacewingstep/instances/odd", "[".repeat(NESTING)),
                invalid("blank failure domain", "op/evacuate/ ", ""));
    }

    private static Arguments invalid(final String description, final String key, final String value) {
        return arguments(description, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    private static String soundEntry() {
        return entry(address(upstream == null ? 1 : upstream.port()), "8", "0", "1");
    }

    private static String address(final int port) {
        return "\"127.0.0.1:" + port + "\"";
    }

    private static String entry(final String address, final String slots, final String coldFor, final String born) {
        return UPSTREAM.formatted(address, slots, coldFor, born);
    }

    private static void assertOnlySoundUpstreamsServe() throws Exception {
        assertThat(upstreams()).isSubsetOf("i-1", "watched", "read");
        for (int i = 0; i < CALLS; i++) {
            assertThat(send().statusCode()).isEqualTo(200);
        }
    }

    private static HttpResponse<String> send() throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/once/x"))
                .timeout(TIMEOUT)
                .header("Request-Id", "caller-1")
                .header("Deadline-Ms", "3000")
                .POST(HttpRequest.BodyPublishers.ofString("a sale"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static List<String> upstreams() throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + metricsPort + "/state"))
                .timeout(TIMEOUT)
                .build();
        final JsonNode registry = MAPPER.readTree(client.send(request, HttpResponse.BodyHandlers.ofString())
                        .body())
                .path("serving")
                .path("registry")
                .path("upstreams");
        final Iterator<String> names = registry.fieldNames();
        return Stream.generate(() -> names.hasNext() ? names.next() : "")
                .takeWhile(name -> !name.isEmpty())
                .sorted()
                .toList();
    }
}
