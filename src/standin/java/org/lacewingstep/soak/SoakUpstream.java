package org.lacewingstep.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntPredicate;

import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;

/** An upstream that serves the platform's protocol as plain service and as engine, with injectable faults. */
final class SoakUpstream implements AutoCloseable {
    static final int EVENT_COUNT = 6;

    private static final long EXECUTION_MILLISECONDS = 15;

    /** Time that a crashed upstream is away. */
    private static final long RESTART_MILLISECONDS = 2000;

    private final int index;
    private final SoakLedger ledger;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final SocketServer server;

    private volatile boolean crashed;
    private volatile int starts;
    private volatile UpstreamFault fault = new UpstreamFault.None();
    private volatile String identifier;
    private volatile Runnable onRestart = () -> {};
    private volatile IntPredicate deadConnections = port -> false;

    /** A connection from an instance, or from the proxy in front of the upstream. */
    private static final class Connection {
        private final OutputStream output;
        private final Socket socket;

        /** Whether the next response says that the upstream leaves. */
        private boolean leaving;

        /** The identifier of the request that was rejected last on this connection, or null. */
        private String rejectedRequest;

        Connection(final Socket socket) throws IOException {
            this.output = socket.getOutputStream();
            this.socket = socket;
        }

        void announceLeaving() {
            leaving = true;
        }

        void write(final String text) throws IOException {
            final String written = leaving && text.startsWith("HTTP/1.1")
                    ? text.replaceFirst("\r\n", "\r\nServer-Leaving: 1\r\n")
                    : text;
            leaving = leaving && written.equals(text);
            output.write(written.getBytes(StandardCharsets.US_ASCII));
            output.flush();
        }
    }

    SoakUpstream(final int index, final SoakLedger ledger) throws IOException {
        this.index = index;
        this.identifier = "i-" + index;
        this.ledger = ledger;
        this.server = new SocketServer(this::serve);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    String identifier() {
        return identifier;
    }

    int port() {
        return server.port();
    }

    /** Injects a fault, {@link UpstreamFault.None} to remove the current one. */
    void setFault(final UpstreamFault newFault) {
        if (fault instanceof UpstreamFault.Leaves) {
            restart();
        }
        if (!newFault.isSound()) {
            ledger.disturbances().begin(SoakDisturbances.upstream(index), SoakClock.now());
        }
        fault = newFault;
        if (newFault instanceof UpstreamFault.None) {
            ledger.disturbances().end(SoakDisturbances.upstream(index), SoakClock.now());
        }
    }

    /** Sets the test, by the port of the peer, for connections that drop bytes for good. */
    void setDeadConnections(final IntPredicate newDeadConnections) {
        deadConnections = newDeadConnections;
    }

    /** Sets the action that follows a restart after a crash. */
    void setOnRestart(final Runnable newOnRestart) {
        onRestart = newOnRestart;
    }

    /** Changes the identifier, which simulates another upstream at the same address. */
    void replaceIdentifier(final String newIdentifier) {
        ledger.disturbances().strike(SoakDisturbances.upstream(index), SoakClock.now());
        identifier = newIdentifier;
        starts++;
    }

    /** Registers this upstream with a new start. */
    private void restart() {
        starts++;
        onRestart.run();
    }

    private String startName() {
        return index + "/" + starts;
    }

    /** Returns the response body for a request, which is the same at all upstreams. */
    static String responseBody(final String requestId) {
        return "answer to " + requestId;
    }

    static String eventFrame(final String requestId, final int number) {
        return "id: " + number + "\ndata: " + responseBody(requestId) + "\n\n";
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        if (crashed) {
            reset(socket);
            return;
        }
        openSockets.add(socket);
        try {
            final BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            final Connection connection = new Connection(socket);
            Optional<SocketRequest> request = SocketRequest.read(reader);
            while (request.isPresent() && respond(connection, request.get())) {
                request = SocketRequest.read(reader);
            }
        } finally {
            openSockets.remove(socket);
        }
    }

    /** Responds to a request and returns whether the connection stays open. */
    private boolean respond(final Connection connection, final SocketRequest request)
            throws IOException, InterruptedException {
        final String requestId = request.headers().getOrDefault("request-id", "");
        if (CrashingPart.isIn(request.headers().getOrDefault("prompt-prefix", ""))) {
            ledger.recordCrashingArrival(requestId, SoakClock.now());
        }
        ledger.recordArrival(startName(), requestId, SoakClock.now());
        if (!identifier.equals(request.headers().getOrDefault("expect-instance", identifier))) {
            connection.write(
                    "HTTP/1.1 421 Misdirected\r\n" + identifierHeader(requestId) + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (request.path().startsWith("/hold-take")) {
            connection.write(jsonResponse(
                    "", "{\"hold\":\"" + ThreadLocalRandom.current().nextInt(1 << 30) + "\"}"));
            return true;
        }
        if (request.path().startsWith("/hold-drop")) {
            connection.write(jsonResponse("", "{}"));
            return true;
        }
        final boolean repeatsRefusal = fault instanceof UpstreamFault.RepeatsRefusal;
        if (fault instanceof UpstreamFault.Refuses || repeatsRefusal && connection.rejectedRequest == null) {
            connection.rejectedRequest = requestId;
            connection.write(rejection(identifierHeader(requestId)));
            return true;
        }
        if (fault instanceof UpstreamFault.NamesReturn) {
            ledger.recordPause(startName(), requestId, SoakClock.now(), UpstreamFault.NamesReturn.PAUSE_MILLISECONDS);
            connection.write("HTTP/1.1 503 Full\r\n" + identifierHeader(requestId)
                    + "Not-Executed: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (fault instanceof UpstreamFault.Leaves) {
            ledger.recordLeaving(startName(), requestId, SoakClock.now());
            connection.announceLeaving();
        }
        if (request.headers().containsKey("stage")) {
            pauseIf(UpstreamFault.Silent.BEFORE_HEAD);
            connection.write(
                    jsonResponse(identifierHeader(requestId), "{\"kvHandle\":\"h\",\"tokens\":1,\"version\":1}"));
            return true;
        }
        return execute(connection, request, requestId);
    }

    private boolean execute(final Connection connection, final SocketRequest request, final String requestId)
            throws IOException, InterruptedException {
        final String route = request.path().split("/")[1];
        final boolean resumed =
                !request.headers().getOrDefault("last-event-id", "0").equals("0");
        final UpstreamFault currentFault = fault;
        if (currentFault instanceof UpstreamFault.BreaksStreams && resumed && requestId.hashCode() % 2 == 0) {
            ledger.recordActedFault("resumed streams rejected");
            connection.write(rejection(identifierHeader(requestId)));
            return true;
        }
        ledger.recordRun(requestId, route, request.headers().getOrDefault("tenant", ""), index);
        if (deadConnections.test(connection.socket.getPort())) {
            ledger.recordDeadConnection(requestId);
        }
        if (request.headers().containsKey("api-key")) {
            ledger.recordViolation(requestId + " exposed the key of its caller to an upstream");
        }
        Thread.sleep(EXECUTION_MILLISECONDS);
        if (CrashingPart.isIn(request.headers().getOrDefault("prompt-prefix", ""))) {
            connection.write(requestId.hashCode() % 2 == 0 ? streamHead(requestId) : "");
            crash();
            return false;
        }
        switch (currentFault) {
            case UpstreamFault.NoResponse() -> {
                connection.socket.getInputStream().read();
                return false;
            }
            case UpstreamFault.LosesResponses() -> {
                connection.socket.setSoLinger(true, 0);
                return false;
            }
            case UpstreamFault.RepeatsRefusal(boolean identified) -> {
                ledger.recordActedFault("refusals repeated, identified=" + identified);
                connection.write(rejection(identified ? identifierHeader(connection.rejectedRequest) : ""));
                connection.rejectedRequest = null;
            }
            case UpstreamFault.BreaksStreams() -> {
                if (resumed) {
                    ledger.recordActedFault("resumed streams failed");
                    connection.write("HTTP/1.1 500 Internal Server Error\r\n" + identifierHeader(requestId)
                            + "Content-Length: 13\r\n\r\nengine failed");
                    return true;
                }
            }
            case UpstreamFault.Silent(int eventsBefore, long milliseconds) -> pauseIf(UpstreamFault.Silent.BEFORE_HEAD);
            case UpstreamFault.None(),
                    UpstreamFault.Refuses(),
                    UpstreamFault.Cuts(),
                    UpstreamFault.Leaves(),
                    UpstreamFault.NamesReturn() -> {}
        }
        return route.equals("stream")
                ? sendEventStream(connection, request, requestId)
                : sendPlainResponse(connection, requestId);
    }

    /** Pauses if the current fault is a pause after this number of events. */
    private void pauseIf(final int eventsSent) throws InterruptedException {
        if (fault instanceof UpstreamFault.Silent(int eventsBefore, long milliseconds) && eventsBefore == eventsSent) {
            ledger.recordActedFault(eventsSent > 0 ? "pauses in a stream" : "pauses before the first event");
            Thread.sleep(milliseconds);
        }
    }

    private void crash() {
        if (crashed) {
            return;
        }
        final long now = SoakClock.now();
        ledger.disturbances().begin(SoakDisturbances.crash(index), now);
        ledger.recordCrash(now);
        crashed = true;
        openSockets.forEach(SoakUpstream::reset);
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(RESTART_MILLISECONDS);
            } catch (final InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
            crashed = false;
            onRestart.run();
            ledger.disturbances().end(SoakDisturbances.crash(index), SoakClock.now());
        });
    }

    private boolean sendPlainResponse(final Connection connection, final String requestId) throws IOException {
        final String body = responseBody(requestId);
        final boolean truncated = fault instanceof UpstreamFault.Cuts;
        connection.write(responseHead(requestId) + "Content-Length: " + body.length() + "\r\n\r\n");
        connection.write(truncated ? body.substring(0, 3) : body);
        return !truncated;
    }

    private boolean sendEventStream(final Connection connection, final SocketRequest request, final String requestId)
            throws IOException, InterruptedException {
        connection.write(streamHead(requestId));
        final int lastEventId = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        for (int number = lastEventId + 1; number <= EVENT_COUNT; number++) {
            pauseIf(number - 1);
            final String event = eventFrame(requestId, number);
            final boolean breaksOff = fault instanceof UpstreamFault.BreaksStreams;
            if ((fault instanceof UpstreamFault.Cuts || breaksOff) && number > 2) {
                connection.write(chunk(event.substring(0, 5)));
                return false;
            }
            connection.write(chunk(event));
            Thread.sleep(EXECUTION_MILLISECONDS);
        }
        connection.write("0\r\n\r\n");
        return true;
    }

    private static String streamHead(final String requestId) {
        return responseHead(requestId) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String rejection(final String identifierHeader) {
        return "HTTP/1.1 503 Full\r\n" + identifierHeader + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    private static String identifierHeader(final String requestId) {
        return requestId.isEmpty() ? "" : "Request-Id: " + requestId + "\r\n";
    }

    private static void reset(final Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (final IOException closed) {
            // The socket is already closed.
        }
    }

    private static String responseHead(final String requestId) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: seal-" + requestId + "\r\n";
    }

    private static String jsonResponse(final String identifierHeader, final String body) {
        return "HTTP/1.1 200 OK\r\n" + identifierHeader + "Content-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
