package org.lacewingstep.command;

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
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import io.netty.handler.codec.http.HttpMethod;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;
import org.lacewingstep.standin.PlatformStoreStandIn;

import static org.lacewingstep.command.ProcessTestSupport.TIMEOUT;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.ProcessTestSupport.freePort;

/** An instance on a platform between a test and the upstreams of the test, over real sockets. */
final class PlatformTestSite implements AutoCloseable {
    /** Route to one upstream, at which a call may run once. */
    static final String ONCE = "once";

    /** Route to two upstreams, at which a call may run once. */
    static final String ONCE_OF_TWO = "once-of-two";

    /** Route to two upstreams, at which a call may run again. */
    static final String AGAIN = "again";

    /** Route to two upstreams, at which a stream may be resumed. */
    static final String STREAM = "stream";

    /** Route to a prefill and a decode engine. */
    static final String ENGINE = "engine";

    /** Time that a call may take. */
    static final Duration DEADLINE = Duration.ofSeconds(3);

    private static final String SETTINGS =
            """
            {"node":"front-a-1","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":60000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":5200,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":14000000,"coldOver":1.5,"coldSlack":500,"leaseMs":3000,
            "exposeShare":0.1,"exposeSlack":50,"rollbackMs":5000}}""";
    private static final String TABLE =
            """
            {"version":1,"routes":[
            {"name":"once","host":"127.0.0.1","pathPrefix":"/once/","kind":"unsafe","timeoutMs":20000,
            "targetLatencyMs":300,"maxAttempts":1,"anonymous":true,"service":"single"},
            {"name":"once-of-two","host":"127.0.0.1","pathPrefix":"/once-of-two/","kind":"unsafe","timeoutMs":20000,
            "targetLatencyMs":300,"maxAttempts":2,"anonymous":true,"service":"pair"},
            {"name":"again","host":"127.0.0.1","pathPrefix":"/again/","kind":"safe","timeoutMs":20000,
            "targetLatencyMs":300,"maxAttempts":2,"anonymous":true,"service":"pair"},
            {"name":"stream","host":"127.0.0.1","pathPrefix":"/stream/","kind":"streaming","timeoutMs":20000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"anonymous":true,
            "service":"pair"},
            {"name":"engine","host":"127.0.0.1","pathPrefix":"/engine/","kind":"streaming","timeoutMs":20000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"anonymous":true,
            "service":"engine"}],
            "services":[{"name":"single","maxConnections":500,"coldPerS":0},
            {"name":"pair","maxConnections":500,"coldPerS":0},
            {"name":"engine","maxConnections":500,"coldPerS":0,"engine":{"kvTokens":30000,"holdMs":5000}}],
            "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},"tenants":[]}""";
    private static final String UPSTREAM =
            """
            {"service":"%s","address":"127.0.0.1:%d","zone":"a","version":"%s","slots":6,"state":"ready",
            "coldRemainingMs":0,"seq":1,"born":%d%s}""";

    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private final int callerPort = freePort();
    private final HttpClient client = HttpClient.newHttpClient();
    private final RawUpstream decode = new RawUpstream();
    private final RawUpstream prefill = new RawUpstream();
    private final RawUpstream single = new RawUpstream();
    private final List<RawUpstream> pair = List.of(new RawUpstream(), new RawUpstream());
    private final PlatformProcess process;
    private final PlatformStoreStandIn store = new PlatformStoreStandIn();

    PlatformTestSite(final Path folder) throws Exception {
        this(folder, UnaryOperator.identity());
    }

    /**
     * Starts the instance with other settings.
     *
     * @param folder a folder for the settings file, not null
     * @param change changes the text of the settings, not null
     */
    PlatformTestSite(final Path folder, final UnaryOperator<String> change) throws Exception {
        LogSetup.configure(false, "error");
        final int readyPort = freePort();
        store.put("op/config", TABLE);
        register("i-1", "single", single, "");
        restartPair();
        register("i-4", "engine", prefill, ",\"stage\":\"prefill\"");
        register("i-5", "engine", decode, ",\"stage\":\"decode\"");
        final Path file = Files.writeString(
                folder.resolve("node.json"),
                change.apply(SETTINGS.formatted(freePort(), callerPort, readyPort, store.port())));
        process = new PlatformProcess(file, freePort());
        process.start();
        await(() -> status(readyPort) == 200);
    }

    @Override
    public void close() throws Exception {
        process.close();
        store.close();
        decode.close();
        prefill.close();
        single.close();
        for (final RawUpstream upstream : pair) {
            upstream.close();
        }
    }

    private void register(final String name, final String service, final RawUpstream upstream, final String stage) {
        register(name, service, upstream, "v1", stage);
    }

    private void register(
            final String name,
            final String service,
            final RawUpstream upstream,
            final String version,
            final String stage) {
        store.put("servers/" + name, UPSTREAM.formatted(service, upstream.port(), version, starts.get(), stage));
    }

    /** Orders to move the calls of the pair to another version, and registers the upstreams of that version. */
    void rollOut(final String version, final Duration limit, final List<RawUpstream> upstreams) {
        store.put(
                "op/rollout/pair",
                "{\"service\":\"pair\",\"target\":\"%s\",\"durationS\":%d}".formatted(version, limit.toSeconds()));
        for (int i = 0; i < upstreams.size(); i++) {
            register("i-" + version + "-" + i, "pair", upstreams.get(i), version, "");
        }
    }

    /** Returns the state that the operators read, empty if none was written. */
    String rolloutState() {
        return store.read("status/rollout/pair");
    }

    /** Registers both upstreams of a pair with a new time of start, as after a crash. */
    void restartPair() {
        starts.incrementAndGet();
        register("i-2", "pair", pair.getFirst(), "");
        register("i-3", "pair", pair.getLast(), "");
    }

    /** Returns the upstream of {@link #ONCE}. */
    RawUpstream single() {
        return single;
    }

    /** Returns the prefill engine of {@link #ENGINE}. */
    RawUpstream prefill() {
        return prefill;
    }

    /** Returns the decode engine of {@link #ENGINE}. */
    RawUpstream decode() {
        return decode;
    }

    /** Returns both upstreams of a pair. */
    List<RawUpstream> pair() {
        return pair;
    }

    /** Stops the platform's store. */
    void closeStore() throws Exception {
        store.close();
    }

    /** Sets the replies of both upstreams of a pair. */
    void respondFromPairWith(final Function<Exchange, Reply> responder) {
        pair.forEach(upstream -> upstream.respondWith(responder));
    }

    /** Returns the requests that both upstreams of a pair received. */
    List<Exchange> exchangesOfPair() {
        return pair.stream().flatMap(upstream -> upstream.exchanges().stream()).toList();
    }

    /** Sends a call with an identifier of its own. */
    HttpResponse<String> send(final String route) throws Exception {
        return send(route, "a sale");
    }

    /** Sends a call with a body, and with an identifier of its own. */
    HttpResponse<String> send(final String route, final String body) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + callerPort + "/" + route + "/x"))
                .timeout(TIMEOUT)
                .header("Request-Id", nextIdentifier())
                .header("Token-Count", "10,10")
                .header("Deadline-Ms", Long.toString(DEADLINE.toMillis()))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST call and returns all bytes up to the end of the connection. */
    String exchangeRaw(final String route, final String... headers) throws IOException {
        return exchangeRaw(HttpMethod.POST, route, headers);
    }

    /** Sends a call and returns all bytes up to the end of the connection. */
    String exchangeRaw(final HttpMethod method, final String route, final String... headers) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            final String head = method + " /" + route + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: "
                    + nextIdentifier() + "\r\nToken-Count: 10,10\r\nDeadline-Ms: " + DEADLINE.toMillis()
                    + "\r\nConnection: close\r\n"
                    + String.join("", headers) + "Content-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Opens a connection as a caller. */
    Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), callerPort);
    }

    /** Encodes a call with an identifier of its own. */
    byte[] request(final String route, final Duration deadline) {
        return ("POST /" + route + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + nextIdentifier()
                        + "\r\nToken-Count: 10,10\r\nDeadline-Ms: " + deadline.toMillis()
                        + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Asks the process to stop, as a SIGTERM does. */
    void requestStop() {
        process.requestStop();
    }

    /** Waits until the process may exit and closes it. */
    void awaitStop() throws Exception {
        process.awaitExitAllowed();
        process.close();
    }

    private String nextIdentifier() {
        return "caller-" + calls.incrementAndGet();
    }

    private int status(final int port) throws Exception {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/ready"))
                .timeout(TIMEOUT)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
