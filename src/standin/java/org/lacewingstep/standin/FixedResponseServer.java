package org.lacewingstep.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that answers each request with the same bytes, valid or not, and closes the connection. */
public final class FixedResponseServer implements AutoCloseable {
    private final SocketServer server;

    private volatile String response = "";

    /**
     * Starts a server on a free port, which sends nothing until it has a response.
     *
     * @throws IOException if the server cannot be bound
     */
    public FixedResponseServer() throws IOException {
        server = new SocketServer(this::respond);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /**
     * Returns the port of the server.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Sets the response to all further requests.
     *
     * @param bytes the bytes from the status line to the end of the connection, not null
     */
    public void setResponse(final String bytes) {
        response = bytes;
    }

    private void respond(final Socket socket) throws IOException {
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        if (SocketRequest.read(reader).isPresent()) {
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        }
    }
}
