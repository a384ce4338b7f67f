package org.lacewingstep.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;

/** An upstream of the platform's protocol that responds according to a configured script and records its requests. */
final class ScriptedUpstream implements AutoCloseable {
    static final String EVENT_1 = "id: 1\ndata: a\n\n";
    static final String EVENT_2 = "id: 2\ndata: b\n\n";

    /** Bytes of a large but permitted body. */
    static final int LARGE = 1_000_000;

    /** Events of a stream that is larger than the buffers between its ends. */
    static final int EVENTS = 400;

    private static final long BYTE_INTERVAL_MILLISECONDS = 100;
    private static final int EVENT_BYTES = 64 * 1024;

    /** Pause of a sound stream between two events. */
    private static final long PAUSE_MILLISECONDS = 1000;

    private final AtomicLong endlessBytes = new AtomicLong();
    private final AtomicInteger endlessResponses = new AtomicInteger();
    private final List<SocketRequest> requests = new CopyOnWriteArrayList<>();
    private final SocketServer server;

    private volatile Script script = Script.COMPLETE;

    ScriptedUpstream() throws IOException {
        server = new SocketServer(this::serve);
    }

    /** The response to a request, and the point at which the connection breaks if it does. */
    enum Script {
        COMPLETE,
        NOT_RUN,
        EXTRA_RESPONSE_BEFORE,
        EXTRA_RESPONSE_WITHOUT_IDENTIFIER_BEFORE,
        WITHOUT_LENGTH,
        WITHOUT_LENGTH_AND_RESET,
        CUT_IN_HEADERS,
        CUT_IN_BODY,
        WITHOUT_SEAL,
        EVENTS,
        EVENTS_CUT_UNLESS_RESUMED,
        NO_RESPONSE,
        ENDLESS_STATUS_LINE,
        ENDLESS_HEADERS,
        ENDLESS_INFORMATIONAL_RESPONSES,
        ENDLESS_FOREIGN_RESPONSE,
        ENDLESS_BODY,
        ENDLESS_CHUNK_EXTENSION,
        ENDLESS_TRAILER,
        ENDLESS_EVENT,
        EVENT_BYTE_BY_BYTE,
        LARGE_BODY,
        MANY_EVENTS,
        EVENTS_WITH_PAUSE,
        ENDLESS_FRAMED_FOREIGN_RESPONSE
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    int port() {
        return server.port();
    }

    List<SocketRequest> requests() {
        return requests;
    }

    long endlessBytes() {
        return endlessBytes.get();
    }

    int endlessResponses() {
        return endlessResponses.get();
    }

    void setScript(final Script newScript) {
        script = newScript;
        endlessBytes.set(0);
        requests.clear();
    }

    private void serve(final Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        boolean open = true;
        while (open) {
            final Optional<SocketRequest> request = SocketRequest.read(reader);
            request.ifPresent(requests::add);
            open = request.isPresent() && respond(socket, request.get());
        }
    }

    /** Responds to a request and returns whether the connection stays open. */
    private boolean respond(final Socket socket, final SocketRequest request) throws IOException {
        final OutputStream output = socket.getOutputStream();
        final String identifier = request.headers().get("request-id");
        final String sealed = "HTTP/1.1 200 OK\r\nRequest-Id: " + identifier + "\r\nResponse-Seal: s\r\n";
        switch (script) {
            case COMPLETE -> write(output, sealed + "Content-Length: 4\r\n\r\ndone");
            case NOT_RUN ->
                write(
                        output,
                        "HTTP/1.1 503 Full\r\nRequest-Id: " + identifier
                                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            case EXTRA_RESPONSE_BEFORE -> {
                write(output, "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nold");
                write(output, sealed + "Content-Length: 4\r\n\r\ndone");
            }
            case EXTRA_RESPONSE_WITHOUT_IDENTIFIER_BEFORE -> {
                write(output, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
                write(output, sealed + "Content-Length: 4\r\n\r\ndone");
            }
            case WITHOUT_LENGTH -> write(output, sealed + "\r\ndone");
            case WITHOUT_LENGTH_AND_RESET -> {
                write(output, sealed + "\r\ndo");
                socket.setSoLinger(true, 0);
            }
            case CUT_IN_HEADERS -> write(output, "HTTP/1.1 200 OK\r\nRequest-");
            case CUT_IN_BODY -> write(output, sealed + "Content-Length: 4\r\n\r\ndo");
            case WITHOUT_SEAL ->
                write(output, "HTTP/1.1 200 OK\r\nRequest-Id: " + identifier + "\r\nContent-Length: 4\r\n\r\ndone");
            case EVENTS -> writeEvents(output, sealed, request);
            case EVENTS_CUT_UNLESS_RESUMED -> {
                if (request.headers().containsKey("last-event-id")) {
                    writeEvents(output, sealed, request);
                } else {
                    write(output, sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENT_1 + "id: 2\nda"));
                }
            }
            case EVENTS_WITH_PAUSE -> {
                write(output, sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENT_1));
                pause(PAUSE_MILLISECONDS);
                write(output, chunk(EVENT_2) + "0\r\n\r\n");
            }
            case NO_RESPONSE -> socket.getInputStream().read();
            case LARGE_BODY -> write(output, sealed + "Content-Length: " + LARGE + "\r\n\r\n" + "x".repeat(LARGE));
            case MANY_EVENTS -> {
                write(output, sealed + "Transfer-Encoding: chunked\r\n\r\n");
                for (int i = 1; i <= EVENTS; i++) {
                    write(output, chunk("id: " + i + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n"));
                }
                write(output, "0\r\n\r\n");
            }
            default -> {
                endlessResponses.incrementAndGet();
                try {
                    writeWithoutEnd(output, sealed);
                } finally {
                    endlessResponses.decrementAndGet();
                }
            }
        }
        return script == Script.COMPLETE || script == Script.NOT_RUN || script == Script.EXTRA_RESPONSE_BEFORE;
    }

    /** Writes until the router closes the connection. */
    private void writeWithoutEnd(final OutputStream output, final String sealed) throws IOException {
        final String chunked = sealed + "Transfer-Encoding: chunked\r\n\r\n";
        switch (script) {
            case ENDLESS_STATUS_LINE -> repeat(output, "HTTP/1.1 200 ", "O".repeat(1000));
            case ENDLESS_HEADERS -> repeat(output, sealed, "Name: value\r\n");
            case ENDLESS_INFORMATIONAL_RESPONSES -> repeat(output, "", "HTTP/1.1 102 Processing\r\n\r\n");
            case ENDLESS_FOREIGN_RESPONSE ->
                repeat(output, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x".repeat(1000));
            case ENDLESS_FRAMED_FOREIGN_RESPONSE ->
                repeat(
                        output,
                        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 9000000000\r\n\r\n",
                        "x".repeat(1000));
            case ENDLESS_BODY -> repeat(output, sealed + "\r\n", "x".repeat(1000));
            case ENDLESS_CHUNK_EXTENSION -> repeat(output, chunked + "4;", "extension".repeat(100));
            case ENDLESS_TRAILER -> repeat(output, chunked + "4\r\ndone\r\n0\r\n", "Name: value\r\n");
            case ENDLESS_EVENT -> repeat(output, chunked, chunk("data: " + "x".repeat(1000)));
            case EVENT_BYTE_BY_BYTE -> {
                write(output, chunked + chunk(EVENT_1));
                while (true) {
                    write(output, chunk("x"));
                    pause(BYTE_INTERVAL_MILLISECONDS);
                }
            }
            default -> throw new IllegalStateException("unknown script: " + script);
        }
    }

    private void repeat(final OutputStream output, final String head, final String part) throws IOException {
        write(output, head);
        while (true) {
            write(output, part);
            endlessBytes.addAndGet(part.length());
        }
    }

    private static void pause(final long milliseconds) throws IOException {
        try {
            Thread.sleep(milliseconds);
        } catch (final InterruptedException interruption) {
            throw new IOException(interruption);
        }
    }

    private static void writeEvents(final OutputStream output, final String sealed, final SocketRequest request)
            throws IOException {
        final boolean resumed = request.headers().containsKey("last-event-id");
        write(
                output,
                sealed + "Transfer-Encoding: chunked\r\n\r\n" + (resumed ? "" : chunk(EVENT_1)) + chunk(EVENT_2)
                        + "0\r\n\r\n");
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(final OutputStream output, final String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
