package org.lacewingstep.command;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingstep.command.ScriptedUpstream.Script;
import org.lacewingstep.standin.PlatformStoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/**
 * Tests responses without end over real sockets: the caller gets a true answer within its deadline and the connection
 * is closed, while responses that are only large or slow pass.
 */
class EndlessResponseTest {
    private static final int DEADLINE_MILLISECONDS = 3000;

    /** Time for an answer beyond the deadline, for a busy machine. */
    private static final Duration MARGIN = Duration.ofSeconds(4);

    /** Bytes that an endless response may send: the longest permitted response and the buffers of the connection. */
    private static final long MAX_BYTES = 32L * 1024 * 1024;

    private static final int CONCURRENT_CALLS = 100;
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
            "targetLatencyMs":300,"maxAttempts":1,"anonymous":true,"service":"ledger"},
            {"name":"stream","host":"127.0.0.1","pathPrefix":"/stream/","kind":"streaming","timeoutMs":20000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"anonymous":true,
            "service":"ledger"}],
            "services":[{"name":"ledger","maxConnections":500,"coldPerS":0}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},"tenants":[]}""";
    private static final String UPSTREAM =
            """
            {"service":"ledger","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":1}""";

    private static int callerPort;
    private static HttpClient client;
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
        store.put("op/config", TABLE);
        store.put("servers/i-1", UPSTREAM.formatted(upstream.port()));
        final Path file = Files.writeString(
                folder.resolve("node.json"), SETTINGS.formatted(freePort(), callerPort, freePort(), store.port()));
        process = new PlatformProcess(file, freePort());
        process.start();
        await(() -> send("once", DEADLINE_MILLISECONDS).statusCode() == 200);
    }

    @AfterAll
    static void stop() throws Exception {
        process.close();
        store.close();
        upstream.close();
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "ENDLESS_STATUS_LINE",
                "ENDLESS_HEADERS",
                "ENDLESS_INFORMATIONAL_RESPONSES",
                "ENDLESS_FOREIGN_RESPONSE",
                "ENDLESS_FRAMED_FOREIGN_RESPONSE",
                "ENDLESS_BODY",
                "ENDLESS_CHUNK_EXTENSION",
                "ENDLESS_TRAILER"
            })
    void callIsAnsweredAsMayHaveRunWithinItsDeadline(final Script script) throws Exception {
        upstream.setScript(script);
        final Instant sentAt = Instant.now();

        final HttpResponse<String> response = send("once", DEADLINE_MILLISECONDS);

        assertThat(response.statusCode()).isIn(502, 504);
        assertThat(response.body()).contains("may have run");
        assertThat(Duration.between(sentAt, Instant.now()))
                .isLessThan(Duration.ofMillis(DEADLINE_MILLISECONDS).plus(MARGIN));
        await(() -> upstream.endlessResponses() == 0);
        assertThat(upstream.endlessBytes()).isLessThan(MAX_BYTES);
        assertNextCallIsServed();
    }

    @ParameterizedTest
    @EnumSource(names = {"ENDLESS_EVENT", "EVENT_BYTE_BY_BYTE"})
    void streamWithoutCompleteEventsEndsAndDoesNotLookComplete(final Script script) throws Exception {
        upstream.setScript(script);
        final Instant sentAt = Instant.now();

        final String response = readRaw("stream", Duration.ZERO);

        assertThat(response).doesNotEndWith("0\r\n\r\n");
        assertThat(upstream.endlessBytes()).isLessThan(MAX_BYTES);
        assertThat(Duration.between(sentAt, Instant.now()))
                .isLessThan(Duration.ofMillis(DEADLINE_MILLISECONDS).plus(MARGIN));
        await(() -> upstream.endlessResponses() == 0);
        assertNextCallIsServed();
    }

    @Test
    void manyEndlessResponsesAtOnceLeaveRoomForOthers() throws Exception {
        upstream.setScript(Script.ENDLESS_BODY);
        final List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            calls.add(client.sendAsync(request("once", DEADLINE_MILLISECONDS), HttpResponse.BodyHandlers.ofString()));
        }

        for (final CompletableFuture<HttpResponse<String>> call : calls) {
            assertThat(call.get().statusCode()).isIn(502, 503, 504);
        }
        await(() -> upstream.endlessResponses() == 0);
        assertNextCallIsServed();
    }

    @Test
    void largeResponseIsPassedOn() throws Exception {
        upstream.setScript(Script.LARGE_BODY);

        final HttpResponse<String> response = send("once", DEADLINE_MILLISECONDS);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).hasSize(ScriptedUpstream.LARGE);
    }

    @Test
    void streamToASlowCallerIsNotCut() throws Exception {
        upstream.setScript(Script.MANY_EVENTS);

        final String response = readRaw("stream", Duration.ofSeconds(3));

        assertThat(response).contains("id: " + ScriptedUpstream.EVENTS + "\n").endsWith("0\r\n\r\n");
        assertThat(upstream.requests()).hasSize(1);
    }

    private static void assertNextCallIsServed() throws Exception {
        upstream.setScript(Script.COMPLETE);
        await(() -> send("once", DEADLINE_MILLISECONDS).statusCode() == 200);
    }

    private static HttpResponse<String> send(final String route, final int deadlineMilliseconds) throws Exception {
        return client.send(request(route, deadlineMilliseconds), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest request(final String route, final int deadlineMilliseconds) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/" + route + "/x"))
                .timeout(TIMEOUT)
                .header("Request-Id", "caller-1")
                .header("Deadline-Ms", Integer.toString(deadlineMilliseconds))
                .POST(HttpRequest.BodyPublishers.ofString("a sale"))
                .build();
    }

    /** Sends a request and reads the response after a pause in which nothing is read. */
    private static String readRaw(final String route, final Duration pause) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            final int deadline = pause.isZero() ? DEADLINE_MILLISECONDS : 5 * DEADLINE_MILLISECONDS;
            socket.getOutputStream()
                    .write(("POST /" + route + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: caller-1\r\n"
                                    + "Connection: close\r\nDeadline-Ms: " + deadline
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(pause.toMillis());
            return readUntilClosed(socket.getInputStream());
        }
    }

    private static String readUntilClosed(final InputStream input) {
        final StringBuilder text = new StringBuilder();
        final byte[] buffer = new byte[64 * 1024];
        try {
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
            }
        } catch (final IOException reset) {
            text.append("(reset)");
        }
        return text.toString();
    }
}
