package org.lacewingstep.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Serves each loopback connection on its own thread, for stand-ins that close connections at any byte. */
public final class SocketServer implements AutoCloseable {
    private static final int BACKLOG = 200;

    private final Handler handler;
    private final ServerSocket server;

    /** Handles the connections of the server. */
    public interface Handler {
        /**
         * Serves a connection; the server closes the connection afterwards.
         *
         * @param socket the connection, not null
         * @throws IOException if the peer closed the connection
         * @throws InterruptedException if the thread is interrupted
         */
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    /**
     * Starts a server on a free port.
     *
     * @param handler the handler of each connection, not null
     * @throws IOException if the server cannot be bound
     */
    public SocketServer(final Handler handler) throws IOException {
        this.handler = handler;
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().name("socket-server").start(this::accept);
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
        return server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (final IOException closed) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            handler.serve(socket);
        } catch (final IOException | InterruptedException disconnected) {
            // The peer disconnected, which is expected at any time.
        }
    }
}
