package org.lacewingstep.command;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.command.ScriptedUpstream.Script;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.standin.PlatformStoreStandIn;
import org.lacewingstep.standin.PlatformStoreStandIn.Fault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/** Tests an instance on a platform over real sockets, against test doubles of its store and its upstreams. */
class PlatformProcessTest {
    private static final String SETTINGS =
            """
            {"node":"front-a-1","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":5200,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000}}""";
    private static final String TABLE =
            """
            {"version":%d,"routes":[
            {"name":"once","host":"127.0.0.1","pathPrefix":"/once/","kind":"unsafe","timeoutMs":4000,
            "targetLatencyMs":300,"maxAttempts":1,"service":"ledger"},
            {"name":"again","host":"127.0.0.1","pathPrefix":"/again/","kind":"safe","timeoutMs":4000,
            "targetLatencyMs":300,"maxAttempts":2,"service":"ledger"},
            {"name":"stream","host":"127.0.0.1","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"ledger"}],
            "services":[{"name":"ledger","maxConnections":50,"coldPerS":0}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
            "tenants":[{"name":"weavers","apiKeys":["%s"],"ratePerS":0,"burst":0}]}""";
    private static final String UPSTREAM =
            """
            {"service":"ledger","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":1}""";

    private static int callerPort;
    private static HttpClient client;
    private static ScriptedUpstream first;
    private static int metricsPort;
    private static PlatformProcess process;
    private static int readyPort;
    private static ScriptedUpstream second;
    private static PlatformStoreStandIn store;

    private static long version;

    @TempDir
    private static Path folder;

    @BeforeAll
    static void start() throws Exception {
        LogSetup.configure(false, "warn");
        client = HttpClient.newHttpClient();
        store = new PlatformStoreStandIn();
        first = new ScriptedUpstream();
        second = new ScriptedUpstream();
        callerPort = freePort();
        readyPort = freePort();
        metricsPort = freePort();
        writeTable("k");
        store.put("servers/i-1", UPSTREAM.formatted(first.port()));
        final Path file = Files.writeString(
                folder.resolve("node.json"), SETTINGS.formatted(freePort(), callerPort, readyPort, store.port()));
        process = new PlatformProcess(file, metricsPort);
        process.start();
        await(() -> status(readyPort, "/ready") == 200);
    }

    @AfterAll
    static void stop() throws Exception {
        process.close();
        store.close();
        first.close();
        second.close();
    }

    @BeforeEach
    void reset() throws Exception {
        first.setScript(Script.COMPLETE);
        second.setScript(Script.COMPLETE);
        store.delete("servers/i-2");
        store.put("servers/i-1", UPSTREAM.formatted(first.port()));
        await(() -> send("again").statusCode() == 200 && !registry().contains("i-2"));
        first.requests().clear();
    }

    @Test
    void callIsForwardedWithItsTeamAndWithoutTheKey() throws Exception {
        final HttpResponse<String> response = send("once");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("done");
        assertThat(response.headers().firstValue("Response-Seal")).contains("s");
        assertThat(first.requests()).hasSize(1);
        assertThat(first.requests().getFirst().body()).isEqualTo("a sale");
        assertThat(first.requests().getFirst().headers())
                .containsEntry("tenant", "weavers")
                .containsEntry("expect-instance", "i-1")
                .doesNotContainKey("api-key");
    }

    @ParameterizedTest
    @EnumSource(names = {"CUT_IN_HEADERS", "CUT_IN_BODY", "WITHOUT_LENGTH_AND_RESET", "WITHOUT_SEAL"})
    void brokenCallOnAtMostOnceRouteIsReportedAsMayHaveRun(final Script script) throws Exception {
        first.setScript(script);

        final HttpResponse<String> response = send("once");

        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may have run");
        assertThat(first.requests()).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(names = {"EXTRA_RESPONSE_BEFORE", "EXTRA_RESPONSE_WITHOUT_IDENTIFIER_BEFORE", "WITHOUT_LENGTH"})
    void responseIsCompleteByItsOwnFraming(final Script script) throws Exception {
        first.setScript(script);

        assertThat(send("once").body()).isEqualTo("done");
    }

    @Test
    void callNotExecutedByUpstreamIsReportedAsNotRun() throws Exception {
        first.setScript(Script.NOT_RUN);

        final HttpResponse<String> response = send("once");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("not run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void brokenRepeatableCallIsRetriedAtAnotherUpstream() throws Exception {
        first.setScript(Script.CUT_IN_BODY);
        store.put("servers/i-2", UPSTREAM.formatted(second.port()));

        await(() -> send("again").statusCode() == 200 && !second.requests().isEmpty());

        assertThat(second.requests()).isNotEmpty();
    }

    @Test
    void streamIsForwardedUnchanged() throws Exception {
        first.setScript(Script.EVENTS);

        assertThat(send("stream").body()).isEqualTo(ScriptedUpstream.EVENT_1 + ScriptedUpstream.EVENT_2);
    }

    @Test
    void brokenStreamResumesAfterTheLastCompleteEvent() throws Exception {
        first.setScript(Script.EVENTS_CUT_UNLESS_RESUMED);
        second.setScript(Script.EVENTS_CUT_UNLESS_RESUMED);
        store.put("servers/i-2", UPSTREAM.formatted(second.port()));
        await(() -> registry().contains("i-2"));

        assertThat(send("stream").body()).isEqualTo(ScriptedUpstream.EVENT_1 + ScriptedUpstream.EVENT_2);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
    }

    @Test
    void pausingStreamIsNotCutWhenItsKeyIsWithdrawn() throws Exception {
        first.setScript(Script.EVENTS_WITH_PAUSE);
        second.setScript(Script.EVENTS_WITH_PAUSE);
        store.put("servers/i-2", UPSTREAM.formatted(second.port()));
        await(() -> registry().contains("i-2"));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(closingRequest("stream").getBytes(StandardCharsets.US_ASCII));
            await(() -> first.requests().size() + second.requests().size() == 1);
            writeTable("new");

            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .containsOnlyOnce(ScriptedUpstream.EVENT_1)
                    .containsOnlyOnce(ScriptedUpstream.EVENT_2)
                    .endsWith("0\r\n\r\n");
            assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
        } finally {
            writeTable("k");
        }
    }

    @Test
    void streamThatCannotResumeHasNoFinalChunk() throws Exception {
        first.setScript(Script.EVENTS_CUT_UNLESS_RESUMED);

        final String response = exchangeRaw("stream");

        assertThat(response).contains(ScriptedUpstream.EVENT_1).doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void streamEndsWithFinalChunkEvenIfTheConnectionCloses() throws Exception {
        first.setScript(Script.EVENTS);

        final String response = exchange(closingRequest("stream"));

        assertThat(response).containsIgnoringCase("transfer-encoding: chunked").endsWith("0\r\n\r\n");
    }

    @Test
    void callIsAbandonedWhenTheCallerDisconnects() throws Exception {
        first.setScript(Script.NO_RESPONSE);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.getOutputStream().write(requestHead("once").getBytes(StandardCharsets.US_ASCII));
            await(() -> first.requests().size() == 1);
        }

        await(() -> status(metricsPort, "/metrics.txt") == 200 && metrics().contains("calls_abandoned 1"));
    }

    @Test
    void unknownKeyIsRejected() throws Exception {
        assertThat(send("once", "other").statusCode()).isEqualTo(401);
        assertThat(first.requests()).isEmpty();
    }

    @Test
    void withdrawnKeyIsRejectedEvenIfTheStoreCompactedItsHistory() throws Exception {
        store.dropHistory();
        writeTable("new");

        await(() -> send("once").statusCode() == 401);
        assertThat(send("once", "new").statusCode()).isEqualTo(200);

        writeTable("k");
        await(() -> send("once").statusCode() == 200);
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSES", "NO_RESPONSE"})
    void keyedCallsAreRefusedAfterTheTableConfirmationExpiresAndServedOnceTheStoreRecovers(final Fault fault)
            throws Exception {
        store.setFault(fault);
        await(() -> status(readyPort, "/ready") == 503);
        await(() -> send("once").statusCode() == 503);

        store.setFault(Fault.NONE);

        await(() -> send("once").statusCode() == 200);
        await(() -> status(readyPort, "/ready") == 200);
    }

    @Test
    void stateDumpContainsNoKeyDigest() throws Exception {
        assertThat(state()).contains("serving").doesNotContain(KeyDigest.of("k").value());
    }

    private static HttpResponse<String> send(final String route) throws Exception {
        return send(route, "k");
    }

    /** A large body is collected as it arrives and sent in slices; without a stated length its buffer grows. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void largeBodyReachesTheUpstreamWhole(final boolean stated) throws Exception {
        final String body = "0123456789".repeat(30_000);

        final HttpResponse<String> response = send(
                "once",
                "k",
                stated
                        ? HttpRequest.BodyPublishers.ofString(body)
                        : HttpRequest.BodyPublishers.ofInputStream(
                                () -> new ByteArrayInputStream(body.getBytes(StandardCharsets.US_ASCII))));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(first.requests().getFirst().body()).isEqualTo(body);
        await(() -> metrics().contains("bodies_bytes 0"));
    }

    private static HttpResponse<String> send(final String route, final String key) throws Exception {
        return send(route, key, HttpRequest.BodyPublishers.ofString("a sale"));
    }

    private static HttpResponse<String> send(final String route, final String key, final HttpRequest.BodyPublisher body)
            throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + callerPort + "/" + route + "/x"))
                .timeout(TIMEOUT)
                .header("Api-Key", key)
                .header("Request-Id", "caller-1")
                .header("Deadline-Ms", "3000")
                .POST(body)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String requestHead(final String route) {
        return "POST /" + route + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: k\r\nRequest-Id: caller-1\r\n"
                + "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    }

    private static String closingRequest(final String route) {
        return requestHead(route).replace("Deadline-Ms", "Connection: close\r\nDeadline-Ms");
    }

    private static String exchangeRaw(final String route) throws IOException {
        return exchange(requestHead(route));
    }

    private static String exchange(final String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static String metrics() throws Exception {
        return get(metricsPort, "/metrics.txt").body();
    }

    private static String state() throws Exception {
        return get(metricsPort, "/state").body();
    }

    private static String registry() throws Exception {
        return new ObjectMapper()
                .readTree(state())
                .path("serving")
                .path("registry")
                .toString();
    }

    private static int status(final int port, final String path) throws Exception {
        return get(port, path).statusCode();
    }

    private static HttpResponse<String> get(final int port, final String path) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void writeTable(final String key) {
        version++;
        store.put("op/config", TABLE.formatted(version, key));
    }
}
