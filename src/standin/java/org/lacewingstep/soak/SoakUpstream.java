package org.lacewingstep.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;

/** An upstream that serves the platform's protocol as plain service and as engine, with injectable faults. */
final class SoakUpstream implements AutoCloseable {
    static final int EVENT_COUNT = 6;

    private static final long EXECUTION_MILLISECONDS = 15;

    private final SoakLedger ledger;
    private final SocketServer server;

    private volatile String identifier;
    private volatile UpstreamFault fault = UpstreamFault.NONE;

    /** The fault that is currently injected into the upstream. */
    enum UpstreamFault {
        NONE,
        REFUSES,
        CUTS,
        LOSES_RESPONSES,
        NO_RESPONSE
    }

    SoakUpstream(final String identifier, final SoakLedger ledger) throws IOException {
        this.identifier = identifier;
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

    void setFault(final UpstreamFault newFault) {
        fault = newFault;
    }

    /** Changes the identifier, which simulates another upstream at the same address. */
    void replaceIdentifier(final String newIdentifier) {
        identifier = newIdentifier;
    }

    /** Returns the response body for a request, which is the same at all upstreams. */
    static String responseBody(final String requestId) {
        return "answer to " + requestId;
    }

    static String eventFrame(final String requestId, final int number) {
        return "id: " + number + "\ndata: " + responseBody(requestId) + "\n\n";
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        Optional<SocketRequest> request = SocketRequest.read(reader);
        while (request.isPresent() && respond(socket, request.get())) {
            request = SocketRequest.read(reader);
        }
    }

    /** Responds to a request and returns whether the connection stays open. */
    private boolean respond(final Socket socket, final SocketRequest request) throws IOException, InterruptedException {
        final OutputStream output = socket.getOutputStream();
        if (!identifier.equals(request.headers().getOrDefault("expect-instance", identifier))) {
            write(output, "HTTP/1.1 421 Misdirected\r\n" + identifierHeader(request) + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (request.path().startsWith("/hold-take")) {
            write(
                    output,
                    jsonResponse(
                            request,
                            "{\"hold\":\"" + ThreadLocalRandom.current().nextInt(1 << 30) + "\"}"));
            return true;
        }
        if (request.path().startsWith("/hold-drop")) {
            write(output, jsonResponse(request, "{}"));
            return true;
        }
        if (fault == UpstreamFault.REFUSES) {
            write(
                    output,
                    "HTTP/1.1 503 Full\r\n" + identifierHeader(request)
                            + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (request.headers().containsKey("stage")) {
            write(output, jsonResponse(request, "{\"kvHandle\":\"h\",\"tokens\":1,\"version\":1}"));
            return true;
        }
        return execute(socket, output, request);
    }

    private boolean execute(final Socket socket, final OutputStream output, final SocketRequest request)
            throws IOException, InterruptedException {
        final String requestId = request.headers().get("request-id");
        final String route = request.path().split("/")[1];
        ledger.recordRun(requestId, route, request.headers().getOrDefault("tenant", ""));
        if (request.headers().containsKey("api-key")) {
            ledger.recordViolation(requestId + " exposed the key of its caller to an upstream");
        }
        Thread.sleep(EXECUTION_MILLISECONDS);
        if (fault == UpstreamFault.NO_RESPONSE) {
            socket.getInputStream().read();
            return false;
        }
        if (fault == UpstreamFault.LOSES_RESPONSES) {
            socket.setSoLinger(true, 0);
            return false;
        }
        return route.equals("stream")
                ? sendEventStream(output, request, requestId)
                : sendPlainResponse(output, requestId);
    }

    private boolean sendPlainResponse(final OutputStream output, final String requestId) throws IOException {
        final String body = responseBody(requestId);
        final boolean truncated = fault == UpstreamFault.CUTS;
        write(output, responseHead(requestId) + "Content-Length: " + body.length() + "\r\n\r\n");
        write(output, truncated ? body.substring(0, 3) : body);
        return !truncated;
    }

    private boolean sendEventStream(final OutputStream output, final SocketRequest request, final String requestId)
            throws IOException, InterruptedException {
        write(
                output,
                responseHead(requestId) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        final int lastEventId = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        for (int number = lastEventId + 1; number <= EVENT_COUNT; number++) {
            final String event = eventFrame(requestId, number);
            if (fault == UpstreamFault.CUTS && number > 2) {
                write(output, chunk(event.substring(0, 5)));
                return false;
            }
            write(output, chunk(event));
            Thread.sleep(EXECUTION_MILLISECONDS);
        }
        write(output, "0\r\n\r\n");
        return true;
    }

    private static String responseHead(final String requestId) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: seal-" + requestId + "\r\n";
    }

    /** Formats the header that echoes the identifier of a request, empty if the request has none. */
    private static String identifierHeader(final SocketRequest request) {
        final String identifier = request.headers().get("request-id");
        return identifier == null ? "" : "Request-Id: " + identifier + "\r\n";
    }

    private static String jsonResponse(final SocketRequest request, final String body) {
        return "HTTP/1.1 200 OK\r\n" + identifierHeader(request) + "Content-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(final OutputStream output, final String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }
}
