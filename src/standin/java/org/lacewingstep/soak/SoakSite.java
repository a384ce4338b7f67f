package org.lacewingstep.soak;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.lacewingstep.standin.PlatformStoreStandIn;

/** Runs the site of a soak: the store and the upstreams in this process, and each instance as a separate process. */
final class SoakSite implements AutoCloseable {
    /** The index of the first upstream that decodes; all later ones decode too. */
    static final int FIRST_DECODE_UPSTREAM = 4;

    private static final int HTTP_OK = 200;
    private static final String TABLE_KEY = "op/config";
    private static final String UPSTREAM_PREFIX = "servers/";
    private static final int MAX_EXTRA_ROUTES = 400;
    private static final int UPSTREAM_COUNT = 6;
    private static final long READY_TIMEOUT_MILLISECONDS = 60_000;
    private static final long POLL_INTERVAL_MILLISECONDS = 50;
    private static final String SETTINGS_TEMPLATE =
            """
            {"node":"front-%d","ip":"127.0.0.1","internalPorts":[%d],"zone":"z%d","bootstrap":true,
            "zones":{"z0":"r","z1":"r"},"listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":500,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000}}""";
    private static final String UPSTREAM_TEMPLATE =
            """
            {"service":"%s","address":"127.0.0.1:%d","zone":"z%d","slots":50,"state":"%s","coldRemainingMs":0,
            "seq":%d,"born":%d%s}""";

    private final Path folder;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, Long> activeSince = new ConcurrentHashMap<>();
    private final SoakLedger ledger;
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final int[] births = new int[UPSTREAM_COUNT];
    private final String[] upstreamStates = new String[UPSTREAM_COUNT];
    private final HttpClient readinessClient = HttpClient.newHttpClient();
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();
    private final FaultProxy storeProxy = new FaultProxy(store.port());
    private final Set<Process> stoppedProcesses = ConcurrentHashMap.newKeySet();
    private final List<SoakUpstream> upstreams = new CopyOnWriteArrayList<>();

    private int extraRouteCount;
    private int keyCount;
    private long entrySequence;
    private String table;
    private long tableVersion;

    /** Holds the process of one instance, its settings file and the ports on which the process listens. */
    private static final class Instance {
        private final int callerPort;
        private final int metricsPort;
        private final int readyPort;
        private final Path settingsFile;

        private Process process;

        Instance(final Path settingsFile, final int callerPort, final int readyPort, final int metricsPort) {
            this.settingsFile = settingsFile;
            this.callerPort = callerPort;
            this.readyPort = readyPort;
            this.metricsPort = metricsPort;
        }
    }

    SoakSite(final Path folder, final int instanceCount, final SoakLedger ledger) throws IOException {
        this.folder = folder;
        this.ledger = ledger;
        activeSince.put("w0", SoakClock.now());
        activeSince.put("d0", SoakClock.now());
        for (int index = 0; index < UPSTREAM_COUNT; index++) {
            final int upstreamIndex = index;
            final SoakUpstream upstream = new SoakUpstream(index, ledger);
            final FaultProxy proxy = new FaultProxy(upstream.port());
            upstream.setDeadConnections(proxy::isDead);
            upstream.setOnRestart(() -> writeRestartedUpstreamEntry(upstreamIndex));
            upstreams.add(upstream);
            proxies.add(proxy);
            writeUpstreamEntry(index, "ready");
        }
        writeRoutingTable();
        for (int index = 0; index < instanceCount; index++) {
            instances.add(prepareInstance(index));
        }
    }

    private Instance prepareInstance(final int index) throws IOException {
        final int callerPort = freePort();
        final int readyPort = freePort();
        final Path settingsFile = Files.writeString(
                folder.resolve("front-" + index + ".json"),
                SETTINGS_TEMPLATE.formatted(index, freePort(), index % 2, callerPort, readyPort, storeProxy.port()));
        return new Instance(settingsFile, callerPort, readyPort, freePort());
    }

    @Override
    public void close() throws IOException {
        instances.forEach(instance -> {
            stoppedProcesses.add(instance.process);
            instance.process.destroyForcibly();
        });
        storeProxy.close();
        for (final FaultProxy proxy : proxies) {
            proxy.close();
        }
        for (final SoakUpstream upstream : upstreams) {
            upstream.close();
        }
        store.close();
    }

    int callerPort(final int index) {
        return instances.get(index).callerPort;
    }

    /** Draws one of the valid keys. */
    String randomKey(final Random random) {
        final List<String> sortedKeys = activeSince.keySet().stream().sorted().toList();
        return sortedKeys.get(random.nextInt(sortedKeys.size()));
    }

    /**
     * Checks whether a key is still valid and took effect more than the withdrawal limit before a request was sent.
     *
     * <p>Instances may reject a newer key, because new keys reach them with a delay.
     */
    boolean isKeyValidSince(final String key, final long sentAt) {
        final Long since = activeSince.get(key);
        return since != null && sentAt > since + SoakLedger.WITHDRAWAL_MILLISECONDS;
    }

    int instanceCount() {
        return instances.size();
    }

    PlatformStoreStandIn store() {
        return store;
    }

    FaultProxy storeProxy() {
        return storeProxy;
    }

    FaultProxy upstreamProxy(final int index) {
        return proxies.get(index);
    }

    SoakUpstream upstream(final int index) {
        return upstreams.get(index);
    }

    int upstreamCount() {
        return upstreams.size();
    }

    /** Starts the process of an instance that is not running, and records a violation if the process ends by itself. */
    void startInstance(final int index) throws IOException {
        final Instance instance = instances.get(index);
        final long startedAt = SoakClock.now();
        instance.process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "--enable-native-access=ALL-UNNAMED",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.lacewingstep.command.Main",
                        "join",
                        "--settings",
                        instance.settingsFile.toString(),
                        "--metrics-port",
                        Integer.toString(instance.metricsPort))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("front-" + index + ".log").toFile()))
                .start();
        instance.process.onExit().thenAccept(ended -> {
            if (!stoppedProcesses.contains(ended)) {
                ledger.recordViolation("front-" + index + " ended by itself with code " + ended.exitValue() + ", "
                        + (SoakClock.now() - startedAt) + " ms after its start");
            }
        });
    }

    /** Sends a signal to the process of an instance. */
    void signal(final int index, final String signal) throws IOException, InterruptedException {
        if (signal.equals("KILL") || signal.equals("TERM")) {
            stoppedProcesses.add(instances.get(index).process);
        }
        new ProcessBuilder(
                        "kill",
                        "-" + signal,
                        Long.toString(instances.get(index).process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the process of an instance exits, and records a violation and kills the process on a timeout. */
    void awaitExit(final int index, final long timeoutMilliseconds) throws InterruptedException {
        final Process process = instances.get(index).process;
        if (!process.waitFor(timeoutMilliseconds, TimeUnit.MILLISECONDS)) {
            ledger.recordViolation("front-" + index + " did not stop in time");
            process.destroyForcibly().waitFor();
        }
    }

    /** Waits until every instance reports readiness, and records a violation on a timeout. */
    void awaitReady() throws InterruptedException {
        final long deadline = SoakClock.now() + READY_TIMEOUT_MILLISECONDS;
        for (int index = 0; index < instances.size(); index++) {
            while (!isReady(instances.get(index).readyPort)) {
                if (SoakClock.now() > deadline) {
                    ledger.recordViolation("front-" + index + " is not ready a minute after all faults");
                    return;
                }
                Thread.sleep(POLL_INTERVAL_MILLISECONDS);
            }
        }
    }

    private boolean isReady(final int port) throws InterruptedException {
        try {
            final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/ready"))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            return readinessClient
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == HTTP_OK;
        } catch (final IOException unreachable) {
            return false;
        }
    }

    /** Creates a key and publishes the routing table that contains the new key. */
    synchronized void addKey() {
        keyCount++;
        activeSince.put((keyCount % 2 == 0 ? "w" : "d") + keyCount, SoakClock.now());
        writeRoutingTable();
    }

    /** Removes a key from the routing table, if the table contains the key; requests in flight may still carry it. */
    synchronized void withdrawKey(final String key) {
        final Long since = activeSince.remove(key);
        if (since != null) {
            writeRoutingTable();
            ledger.recordWithdrawal(key, SoakClock.now());
        }
    }

    /** Publishes a routing table with another number of unused routes, and one without most keys of a team. */
    synchronized void changeConfiguration(final Random random) {
        extraRouteCount = random.nextInt(MAX_EXTRA_ROUTES);
        writeRoutingTable();
        addKey();
        final String team = random.nextBoolean() ? "w" : "d";
        final List<String> withdrawnKeys = activeSince.keySet().stream()
                .filter(key -> key.startsWith(team) && !key.endsWith("0"))
                .toList();
        withdrawnKeys.forEach(activeSince::remove);
        writeRoutingTable();
        withdrawnKeys.forEach(key -> ledger.recordWithdrawal(key, SoakClock.now()));
    }

    /** Registers another upstream at the address of a drained one. */
    synchronized void replaceUpstream(final int index, final String newIdentifier) {
        store.delete(upstreamKey(upstreams.get(index)));
        upstreams.get(index).replaceIdentifier(newIdentifier);
        writeUpstreamEntry(index, "ready");
    }

    /** Writes again what the operators and the upstreams wrote after a copy that the store came back from. */
    synchronized void writeAgain(final PlatformStoreStandIn.Copy copy) {
        if (!store.read(TABLE_KEY).equals(table)) {
            store.put(TABLE_KEY, table);
        }
        for (int index = 0; index < UPSTREAM_COUNT; index++) {
            writeUpstreamEntry(index, upstreamStates[index]);
        }
        copy.items().keySet().stream()
                .filter(key -> key.startsWith(UPSTREAM_PREFIX))
                .filter(key -> upstreams.stream().noneMatch(upstream -> key.equals(upstreamKey(upstream))))
                .forEach(store::delete);
    }

    private static String upstreamKey(final SoakUpstream upstream) {
        return UPSTREAM_PREFIX + upstream.identifier();
    }

    private synchronized void writeRestartedUpstreamEntry(final int index) {
        births[index] += UPSTREAM_COUNT;
        writeUpstreamEntry(index, upstreamStates[index]);
    }

    /** Writes the entry of an upstream, with the given state, into the store. */
    synchronized void writeUpstreamEntry(final int index, final String state) {
        upstreamStates[index] = state;
        final String service = index < 2 ? "ledger" : "engines";
        final String stage =
                index < 2 ? "" : index < FIRST_DECODE_UPSTREAM ? ",\"stage\":\"prefill\"" : ",\"stage\":\"decode\"";
        entrySequence++;
        store.put(
                upstreamKey(upstreams.get(index)),
                UPSTREAM_TEMPLATE.formatted(
                        service,
                        proxies.get(index).port(),
                        index % 2,
                        state,
                        entrySequence,
                        births[index] + index + 1,
                        stage));
    }

    private void writeRoutingTable() {
        tableVersion++;
        final String routeTemplate =
                """
                {"name":"%s","host":"127.0.0.1","pathPrefix":"/%s/","kind":"%s","timeoutMs":4000,
                "targetLatencyMs":500,"maxAttempts":2,"resumable":%b,"gapAimMs":300,"service":"%s"}""";
        final StringBuilder extraRoutes = new StringBuilder();
        for (int number = 0; number < extraRouteCount; number++) {
            extraRoutes
                    .append(routeTemplate.formatted("extra" + number, "extra" + number, "safe", false, "ledger"))
                    .append(',');
        }
        table = "{\"version\":" + tableVersion + ",\"routes\":[" + extraRoutes
                + routeTemplate.formatted("once", "once", "unsafe", false, "ledger") + ","
                + routeTemplate.formatted("again", "again", "safe", false, "ledger") + ","
                + routeTemplate.formatted("stream", "stream", "streaming", true, "engines")
                + "],\"services\":[{\"name\":\"ledger\",\"maxConnections\":200},{\"name\":\"engines\","
                + "\"maxConnections\":200,\"engine\":{\"kvTokens\":100000,\"holdMs\":2000}}],\"limits\":{},"
                + "\"tenants\":[" + teamEntry("weavers") + "," + teamEntry("dyers") + "]}";
        store.put(TABLE_KEY, table);
    }

    private String teamEntry(final String name) {
        final String joinedKeys = String.join(
                "\",\"",
                activeSince.keySet().stream()
                        .filter(key -> SoakClient.teamOf(key).equals(name))
                        .sorted()
                        .toList());
        return "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"ratePerS\":0,\"burst\":0}".formatted(name, joinedKeys);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
