package org.lacewingstep.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.standin.PlatformStoreStandIn;
import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/** Tests that a call at a sound upstream that falls silent for a moment is not lost to an upstream that refuses it. */
class SilentUpstreamTest {
    private static final String SETTINGS =
            """
            {"node":"front-a-1","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":5200,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000}}""";
    private static final String TABLE =
            """
            {"version":1,"routes":[
            {"name":"again","host":"127.0.0.1","pathPrefix":"/again/","kind":"safe","timeoutMs":4000,
            "targetLatencyMs":300,"maxAttempts":2,"service":"ledger","anonymous":true},
            {"name":"stream","host":"127.0.0.1","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"pattern",
            "anonymous":true}],
            "services":[{"name":"ledger","maxConnections":50,"coldPerS":0},
            {"name":"pattern","maxConnections":50,"coldPerS":0,"engine":{"kvTokens":10000,"holdMs":2000}}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},"tenants":[]}""";
    private static final String PLAIN =
            """
            {"service":"ledger","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":1}""";
    private static final String ENGINE =
            """
            {"service":"pattern","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":1,"stage":"decode"}""";
    private static final String EVENT_1 = "id: 1\ndata: one\n\n";
    private static final String EVENT_2 = "id: 2\ndata: two\n\n";

    /** Longer than the response timeout of both routes, and within what a sound upstream may take. */
    private static final long SILENCE_MILLISECONDS = 800;

    /** Less than the router waits for a reservation, so that the silence ends while memory is being reserved. */
    private static final long RESERVATION_MILLISECONDS = 300;

    private int callerPort;
    private HttpClient client;
    private int metricsPort;
    private PlatformProcess process;
    private SocketServer refusing;
    private final List<SocketRequest> refused = new CopyOnWriteArrayList<>();
    private final List<SocketRequest> run = new CopyOnWriteArrayList<>();
    private SocketServer silent;
    private PlatformStoreStandIn store;

    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws Exception {
        LogSetup.configure(false, "warn");
        client = HttpClient.newHttpClient();
        store = new PlatformStoreStandIn();
        silent = new SocketServer(socket -> serve(socket, run));
        refusing = new SocketServer(socket -> serve(socket, refused));
        callerPort = freePort();
        metricsPort = freePort();
        final int readyPort = freePort();
        store.put("op/config", TABLE);
        store.put("servers/i-1", PLAIN.formatted(silent.port()));
        store.put("servers/i-2", ENGINE.formatted(silent.port()));
        final Path file = Files.writeString(
                folder.resolve("node.json"), SETTINGS.formatted(freePort(), callerPort, readyPort, store.port()));
        process = new PlatformProcess(file, metricsPort);
        process.start();
        await(() -> get(readyPort, "/ready").statusCode() == 200);
    }

    @AfterEach
    void stop() throws Exception {
        process.close();
        store.close();
        silent.close();
        refusing.close();
    }

    @Test
    void repeatableCallAtASilentUpstreamIsNotLostToAnUpstreamThatRefusesIt() throws Exception {
        assertThat(exchange("again", "servers/i-3", PLAIN)).contains("200 OK").endsWith("done");
    }

    @Test
    void streamThatGoesOnWhileMemoryIsReservedElsewhereIsNotLost() throws Exception {
        assertThat(exchange("stream", "servers/i-4", ENGINE))
                .containsOnlyOnce(EVENT_1)
                .containsOnlyOnce(EVENT_2)
                .endsWith("0\r\n\r\n");
    }

    /** Sends a call, and registers the upstream that refuses it once the silent upstream runs the call. */
    private String exchange(final String route, final String key, final String entry) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            final String head = "POST /" + route + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: caller-1\r\n"
                    + "Connection: close\r\nDeadline-Ms: 3500\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            await(() -> run.size() == 1);
            store.put(key, entry.formatted(refusing.port()));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private void serve(final Socket socket, final List<SocketRequest> received)
            throws IOException, InterruptedException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        for (Optional<SocketRequest> request = SocketRequest.read(reader);
                request.isPresent();
                request = SocketRequest.read(reader)) {
            respond(socket.getOutputStream(), request.get(), received);
        }
    }

    private void respond(final OutputStream output, final SocketRequest request, final List<SocketRequest> received)
            throws IOException, InterruptedException {
        if (request.path().startsWith("/hold-take")) {
            Thread.sleep(received == run ? 0 : RESERVATION_MILLISECONDS);
            write(output, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"h\"}");
            return;
        }
        received.add(request);
        if (received == refused) {
            write(
                    output,
                    "HTTP/1.1 503 Full\r\nRequest-Id: " + request.headers().get("request-id")
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        final String sealed =
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.headers().get("request-id") + "\r\nResponse-Seal: s\r\n";
        Thread.sleep(SILENCE_MILLISECONDS);
        if (request.path().startsWith("/again/")) {
            write(output, sealed + "Content-Length: 4\r\n\r\ndone");
            return;
        }
        write(output, sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENT_1));
        Thread.sleep(SILENCE_MILLISECONDS);
        write(output, chunk(EVENT_2) + "0\r\n\r\n");
    }

    private HttpResponse<String> get(final int port, final String path) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(final OutputStream output, final String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
