package org.lacewingstep.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Simulates the store and the only upstream of an instance that is started for a rehearsal. */
public final class RehearsalServer implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(RehearsalServer.class);

    /** Timeout for an instance to start and read the store: many times the usual duration of one second. */
    private static final long READ_TIMEOUT_SECONDS = 60;

    private static final String SETTINGS =
            """
            {"node":"rehearsal","ip":"127.0.0.1","internalPorts":[%d],"zone":"a","zones":{"a":"r"},"bootstrap":true,
            "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
            "platform":{"address":"127.0.0.1:%d"},
            "bounds":{"revokeMs":5000,"graceS":8,"retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":50,
            "quotaWindowS":8,"quotaOver":0.1,"quotaSlack":1000,"coldOver":1.5,"coldSlack":5,"leaseMs":3000}}""";

    private static final String CALLER_REQUEST =
            "GET /a/ HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\nConnection: close\r\n\r\n";

    private static final String ROUTING_DOCUMENT =
            """
            {"version":1,"routes":[{"name":"a","host":"a","pathPrefix":"/a/","kind":"safe","timeoutMs":9000,
            "anonymous":true,"service":"s"}],"services":[{"name":"s","maxConnections":9}],"limits":{},"tenants":[]}""";

    private static final String UPSTREAM_ENTRY =
            """
            {"service":"s","address":"127.0.0.1:%d","zone":"a","slots":1,"state":"ready","born":1}""";

    private final CountDownLatch initialReadDone = new CountDownLatch(1);
    private final ServerSocket server;

    /**
     * Listens on a free port of the loopback address.
     *
     * @throws IOException if no port can be bound
     */
    public RehearsalServer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().name("rehearsal").start(this::acceptConnections);
    }

    /**
     * Blocks until the instance has read the store and requests changes.
     *
     * @throws RouterException if the instance does not request changes within the timeout
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStoreRead() throws InterruptedException {
        if (!initialReadDone.await(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new RouterException(
                    ErrorCode.STORE_UNREACHABLE, "rehearse", "store", "the instance did not read the store");
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /**
     * Formats the settings file of the instance.
     *
     * @param peerPort the instance's port for other instances
     * @param callerPort the instance's port for callers
     * @param readyPort the instance's port for the load balancer's readiness checks
     * @return the text of the settings file, never null
     */
    public String settings(final int peerPort, final int callerPort, final int readyPort) {
        return SETTINGS.formatted(peerPort, callerPort, readyPort, port());
    }

    /**
     * Sends a caller's request to the instance.
     *
     * @param callerPort the instance's port for callers
     * @return whether the instance returned the upstream's response
     * @throws IOException if the connection fails
     */
    public boolean callSucceeds(final int callerPort) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.getOutputStream().write(CALLER_REQUEST.getBytes(StandardCharsets.US_ASCII));
            final String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return response.startsWith("HTTP/1.1 200");
        }
    }

    private int port() {
        return server.getLocalPort();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serveConnection(socket));
            } catch (final IOException failure) {
                LOGGER.debug("cannot accept a connection: {}", failure.getMessage());
            }
        }
    }

    private void serveConnection(final Socket socket) {
        try (socket) {
            final BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String request = reader.readLine(); request != null; request = reader.readLine()) {
                int length = 0;
                for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(
                                line.substring(line.indexOf(':') + 1).trim());
                    }
                }
                reader.skip(length);
                respond(socket, request);
            }
        } catch (final IOException failure) {
            LOGGER.debug("connection closed: {}", failure.getMessage());
        }
    }

    /** Responds to a request, except to a watch request, so that the instance sends no further watch request. */
    private void respond(final Socket socket, final String request) throws IOException {
        if (request.contains("/kv-watch")) {
            initialReadDone.countDown();
            return;
        }
        final String body = request.contains("/kv-range")
                ? "{\"items\":[%s,%s],\"hasMore\":false,\"asOf\":1}"
                        .formatted(
                                storeItem("op/config", ROUTING_DOCUMENT),
                                storeItem("servers/i-1", UPSTREAM_ENTRY.formatted(port())))
                : "{\"lease\":1,\"ttlMs\":10000,\"revision\":1,\"asOf\":1}";
        final String responseFormat =
                "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s";
        socket.getOutputStream()
                .write(responseFormat.formatted(body.length(), body).getBytes(StandardCharsets.US_ASCII));
    }

    private static String storeItem(final String key, final String value) {
        final String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":1}".formatted(key, text);
    }
}
