package org.lacewingstep.command;

import java.io.IOException;
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
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingstep.command.ConnectionCuttingService.CutPoint;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.settings.InstanceSettings;
import org.lacewingstep.settings.InventoryCompiler;
import org.lacewingstep.standin.PlatformStandIns;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/**
 * Tests that a call that may run only once is not sent again when its connection breaks, over real sockets.
 *
 * <p>The service cuts the connection at each point of the exchange and counts the executions of the call.
 */
class BrokenConnectionTest {
    private static final String KEY = "a-key-of-the-weavers";
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final String SETTINGS =
            """
            [instance]
            name = "a"
            failure_domain = "Rundu"
            caller_address = "127.0.0.1:%d"
            operator_address = "127.0.0.1:%d"
            peer_address = "127.0.0.1:%d"
            [platform]
            store = "%s"
            instance_list = "%s"
            [limits]
            caller_idle = "1s"
            [policy]
            heartbeat_interval = "50ms"
            grant_life = "200ms"
            admission_patience = "100ms"
            settle_delay = "300ms"
            load_interval = "100ms"
            """;
    private static final String INVENTORY =
            """
            [[failure_domain]]
            name = "Rundu"
            [[team]]
            name = "weavers"
            tokens_per_second = 1000
            burst_tokens = 10000
            [[service]]
            name = "ledger"
            path = "/ledger"
            [[upstream]]
            name = "ledger-0"
            service = "ledger"
            role = "plain"
            address = "127.0.0.1:%d"
            failure_domain = "Rundu"
            memory_pieces = 8
            """;
    private static final String RULES = "[[route]]\nservice = \"ledger\"\nteams = [\"weavers\"]\n";

    private static int callerPort;
    private static HttpClient client;
    private static StandaloneProcess router;
    private static ConnectionCuttingService service;
    private static PlatformStandIns standIns;

    @TempDir
    private static Path folder;

    @BeforeAll
    static void start() throws Exception {
        LogSetup.configure(false, "warn");
        client = HttpClient.newHttpClient();
        service = new ConnectionCuttingService();
        callerPort = freePort();
        final int operatorPort = freePort();
        standIns = new PlatformStandIns(List.of("127.0.0.1:" + operatorPort));
        applyConfiguration();
        final String text = SETTINGS.formatted(
                callerPort, operatorPort, freePort(), standIns.storeAddress(), standIns.listAddress());
        router = new StandaloneProcess(InstanceSettings.read(write("settings.toml", text)));
        router.start();
        awaitFirstResponse();
    }

    @AfterAll
    static void stop() throws Exception {
        router.close();
        standIns.close();
        service.close();
    }

    @ParameterizedTest
    @EnumSource(
            names = {"NEVER"},
            mode = EnumSource.Mode.EXCLUDE)
    void brokenCallRunsAtMostOnceAndIsNeverReportedAsNotRun(final CutPoint point) throws Exception {
        verifyRunsAtMostOnce(point);
    }

    private static void verifyRunsAtMostOnce(final CutPoint point) throws Exception {
        service.setCutPoint(point);
        final HttpResponse<String> response = call("a sale");
        final String runStatus = new ObjectMapper()
                .readTree(response.body())
                .path("error")
                .path("run")
                .asText();
        assertThat(service.executions()).isLessThanOrEqualTo(1);
        assertThat(runStatus).isEqualTo("may have run");
    }

    @Test
    void unbrokenCallRunsOnce() throws Exception {
        service.setCutPoint(CutPoint.NEVER);
        assertThat(call("a sale").body()).isEqualTo("done");
        assertThat(service.executions()).isEqualTo(1);
    }

    @Test
    void stalledCallerIsRefusedAndNothingIsSentUpstream() throws Exception {
        service.setCutPoint(CutPoint.NEVER);
        try (Socket socket = new Socket("127.0.0.1", callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            final String head = "POST /ledger/sales HTTP/1.1\r\nHost: here\r\nAuthorization: Bearer " + KEY
                    + "\r\nContent-Length: 100\r\n\r\nonly a part";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            final String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response)
                    .startsWith("HTTP/1.1 408")
                    .contains("CALLER_STALLED")
                    .contains("not run");
        }
        assertThat(service.executions()).isZero();
    }

    private static void applyConfiguration() throws IOException {
        final Path inventory = write("inventory.toml", INVENTORY.formatted(service.port()));
        final Path rules = write("rules.toml", RULES);
        ConfigurationEditor.edit(standIns.storeAddress(), current -> {
            final Configuration compiled = InventoryCompiler.compile(inventory, rules, current);
            return compiled.withKeys(Map.of(KeyDigest.of(KEY), new TeamName("weavers")));
        });
    }

    private static void awaitFirstResponse() throws Exception {
        final Instant end = Instant.now().plus(TIMEOUT);
        while (call("a first sale").statusCode() != 200) {
            assertThat(Instant.now()).as("the router serves").isBefore(end);
            Thread.sleep(100);
        }
    }

    private static HttpResponse<String> call(final String body) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + callerPort + "/ledger/sales"))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static Path write(final String name, final String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
