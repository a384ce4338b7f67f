package org.lacewingstep.command;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.standin.PlatformStoreStandIn;
import org.lacewingstep.standin.PlatformStoreStandIn.Copy;
import org.lacewingstep.standin.PlatformStoreStandIn.Fault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/** Guards against keys that stay alive, or are all refused, after the store came back from a copy. */
class RestoredStoreProcessTest {
    private static final Duration OUTAGE = Duration.ofSeconds(1);

    /** Time after which a withdrawn key opens nothing, as the settings say. */
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofSeconds(5);

    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(2);
    private static final int INSTANCES = 3;
    private static final int LOST_WRITES = 60;
    private static final String SETTINGS =
            """
            {"node":"front-a-%d","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":5200,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000}}""";
    private static final String TABLE =
            """
            {"version":%d,"routes":[
            {"name":"again","host":"127.0.0.1","pathPrefix":"/again/","kind":"safe","timeoutMs":4000,
            "targetLatencyMs":300,"maxAttempts":2,"service":"ledger"}],
            "services":[{"name":"ledger","maxConnections":50,"coldPerS":0}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
            "tenants":[{"name":"weavers","apiKeys":[%s],"ratePerS":0,"burst":0}]}""";
    private static final String UPSTREAM =
            """
            {"service":"ledger","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":1}""";

    private final List<Integer> callerPorts = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<PlatformProcess> processes = new ArrayList<>();
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final ScriptedUpstream upstream = new ScriptedUpstream();

    @TempDir
    private Path folder;

    RestoredStoreProcessTest() throws Exception {
        LogSetup.configure(false, "error");
    }

    @BeforeEach
    void start() throws Exception {
        writeTable(7, "k1", "k2");
        store.put("servers/i-1", UPSTREAM.formatted(upstream.port()));
        for (int i = 0; i < INSTANCES; i++) {
            final int callerPort = freePort();
            final Path file = Files.writeString(
                    folder.resolve("node-" + i + ".json"),
                    SETTINGS.formatted(i, freePort(), callerPort, freePort(), store.port()));
            final PlatformProcess process = new PlatformProcess(file, freePort());
            process.start();
            processes.add(process);
            callerPorts.add(callerPort);
        }
        awaitStatus("k2", 200);
    }

    @AfterEach
    void stop() throws Exception {
        for (final PlatformProcess process : processes) {
            process.close();
        }
        store.close();
        upstream.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void withdrawnKeyDiesAndOthersLiveWhenRevisionsGoBack(final int restores) throws Exception {
        final Copy copy = loseWritesAndVersion8();
        for (int i = 0; i < restores; i++) {
            restore(copy);
            writeTable(8, "k1", "k2", "k8");
        }

        assertThat(store.revisionOf("op/config")).isLessThan(copy.revision() + LOST_WRITES);
        withdrawFirstKeyAndCheck();
    }

    @Test
    void withdrawnKeyDiesAndOthersLiveWhenTheNextTableGetsTheKnownRevision() throws Exception {
        final Copy copy = loseWritesAndVersion8();
        final long known = store.revisionOf("op/config");
        restore(copy);
        writeTable(8, "k1", "k2", "k8");
        for (long revision = store.revisionOf("op/config"); revision < known - 1; revision++) {
            store.put("other/" + revision, "x");
        }

        withdrawFirstKeyAndCheck();

        assertThat(store.revisionOf("op/config")).isEqualTo(known);
    }

    private Copy loseWritesAndVersion8() throws Exception {
        final Copy copy = store.copy();
        for (int i = 0; i < LOST_WRITES; i++) {
            store.put("other/lost-" + i, "x");
        }
        writeTable(8, "k1", "k2", "k8");
        awaitStatus("k8", 200);
        return copy;
    }

    private void restore(final Copy copy) throws InterruptedException {
        store.setFault(Fault.REFUSES);
        Thread.sleep(OUTAGE.toMillis());
        store.restore(copy);
        store.setFault(Fault.NONE);
    }

    /** Writes version 9, which withdraws the key k1 and adds the key k3, and checks what each instance does with it. */
    private void withdrawFirstKeyAndCheck() throws Exception {
        final Instant writtenAt = Instant.now();
        writeTable(9, "k2", "k3");
        sleepUntil(writtenAt.plus(RECOVERY_LIMIT));
        while (Instant.now().isBefore(writtenAt.plus(WITHDRAWAL_LIMIT))) {
            for (final int port : callerPorts) {
                assertThat(status(port, "k2")).isEqualTo(200);
                assertThat(status(port, "k3")).isEqualTo(200);
            }
        }
        for (int i = 0; i < INSTANCES; i++) {
            assertThat(status(callerPorts.get(i), "k1")).isEqualTo(401);
            assertThat(status(callerPorts.get(i), "k2")).isEqualTo(200);
            assertThat(status(callerPorts.get(i), "k3")).isEqualTo(200);
        }
    }

    private static void sleepUntil(final Instant time) throws InterruptedException {
        Thread.sleep(Math.max(0, Duration.between(Instant.now(), time).toMillis()));
    }

    private void awaitStatus(final String key, final int status) throws Exception {
        for (final int port : callerPorts) {
            await(() -> status(port, key) == status);
        }
    }

    private int status(final int port, final String key) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/again/x"))
                .timeout(TIMEOUT)
                .header("Api-Key", key)
                .header("Request-Id", "caller-1")
                .header("Deadline-Ms", "3000")
                .POST(HttpRequest.BodyPublishers.ofString("a sale"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private void writeTable(final int version, final String... keys) {
        store.put("op/config", TABLE.formatted(version, "\"" + String.join("\",\"", keys) + "\""));
    }
}
