package org.lacewingstep.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

import org.lacewingstep.standin.SocketServer;

/** A plain service that cuts the connection of a call at a configured point and counts the calls executed. */
final class ConnectionCuttingService implements AutoCloseable {
    private static final String LOAD = "{\"start_id\":\"one\",\"cold\":false,\"running\":[]}";

    private final AtomicInteger executions = new AtomicInteger();
    private final SocketServer server;

    private volatile CutPoint cutPoint = CutPoint.NEVER;

    ConnectionCuttingService() throws IOException {
        server = new SocketServer(this::serve);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    void setCutPoint(final CutPoint newCutPoint) {
        cutPoint = newCutPoint;
        executions.set(0);
    }

    int executions() {
        return executions.get();
    }

    int port() {
        return server.port();
    }

    private void serve(final Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        final String requestLine = reader.readLine();
        if (requestLine != null && requestLine.startsWith("GET /load")) {
            respond(socket.getOutputStream(), LOAD, LOAD.length());
        } else if (requestLine != null) {
            serveCall(socket, reader);
        }
    }

    private void serveCall(final Socket socket, final BufferedReader reader) throws IOException {
        if (cutPoint == CutPoint.AFTER_FIRST_LINE) {
            socket.setSoLinger(true, 0);
            return;
        }
        int length = 0;
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        if (cutPoint == CutPoint.BEFORE_BODY) {
            return;
        }
        final char[] body = new char[length];
        for (int read = 0; read < length; ) {
            read += reader.read(body, read, length - read);
        }
        executions.incrementAndGet();
        switch (cutPoint) {
            case BEFORE_RESPONSE -> socket.setSoLinger(true, 0);
            case IN_HEADERS -> socket.getOutputStream().write("HTTP/1.1 200 OK\r\nConte".getBytes());
            case IN_RESPONSE -> respond(socket.getOutputStream(), "do", 4);
            case AFTER_INVALID_STATUS -> respond(socket.getOutputStream(), "000 OK", "done", 4);
            case AFTER_INVALID_FIELD_NAME -> respond(socket.getOutputStream(), "200 OK\r\nNa me: v", "done", 4);
            default -> respond(socket.getOutputStream(), "done", 4);
        }
    }

    private static void respond(final OutputStream output, final String body, final int length) throws IOException {
        respond(output, "200 OK", body, length);
    }

    private static void respond(
            final OutputStream output, final String statusAndHeaders, final String body, final int length)
            throws IOException {
        final String head =
                "HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: " + length + "\r\nConnection: close\r\n\r\n";
        output.write((head + body).getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** The point of the exchange at which the connection of a call is cut. */
    enum CutPoint {
        AFTER_FIRST_LINE,
        BEFORE_RESPONSE,
        BEFORE_BODY,
        IN_RESPONSE,
        IN_HEADERS,
        AFTER_INVALID_STATUS,
        AFTER_INVALID_FIELD_NAME,
        NEVER
    }
}
