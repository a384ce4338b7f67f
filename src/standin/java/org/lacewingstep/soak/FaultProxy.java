package org.lacewingstep.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback proxy in front of one port that delays or drops the bytes of connections, or resets connections. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;
    private static final long DELAY_MILLISECONDS = 120;

    private final Set<Integer> deadPorts = ConcurrentHashMap.newKeySet();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final int targetPort;

    private volatile Mode mode = Mode.PASS;

    /**
     * How the proxy treats bytes.
     *
     * <p>A connection that dropped bytes in one direction drops all later bytes in this direction too, so that the
     * receiver never sees a stream with a gap.
     */
    enum Mode {
        PASS,
        DELAY,
        DROP_TO_TARGET,
        DROP_TO_CLIENT
    }

    FaultProxy(final int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().name("proxy").start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    void setMode(final Mode newMode) {
        mode = newMode;
    }

    /** Returns whether the connection that the target sees from the given port has dropped bytes. */
    boolean isDead(final int portAtTarget) {
        return deadPorts.contains(portAtTarget);
    }

    /** Resets all open connections. */
    void reset() {
        openSockets.forEach(FaultProxy::abort);
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket clientSocket = server.accept();
                Thread.ofVirtual().start(() -> connect(clientSocket));
            } catch (final IOException closed) {
                return;
            }
        }
    }

    private void connect(final Socket clientSocket) {
        try {
            final Socket targetSocket = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            clientSocket.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            deadPorts.remove(targetSocket.getLocalPort());
            openSockets.add(clientSocket);
            openSockets.add(targetSocket);
            Thread.ofVirtual().start(() -> pump(clientSocket, targetSocket, Mode.DROP_TO_TARGET));
            pump(targetSocket, clientSocket, Mode.DROP_TO_CLIENT);
        } catch (final IOException refused) {
            abort(clientSocket);
        }
    }

    private void pump(final Socket from, final Socket to, final Mode droppingMode) {
        final byte[] buffer = new byte[BUFFER_BYTES];
        boolean dropping = false;
        try (from;
                to) {
            final InputStream input = from.getInputStream();
            final OutputStream output = to.getOutputStream();
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                final Mode currentMode = mode;
                if (currentMode == droppingMode) {
                    dropping = true;
                    deadPorts.add((droppingMode == Mode.DROP_TO_TARGET ? to : from).getLocalPort());
                }
                if (currentMode == Mode.DELAY) {
                    Thread.sleep(DELAY_MILLISECONDS);
                }
                if (!dropping) {
                    output.write(buffer, 0, length);
                    output.flush();
                }
            }
        } catch (final IOException | InterruptedException ended) {
            abort(to);
        } finally {
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    private static void abort(final Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (final IOException closed) {
            // The socket is already closed.
        }
    }
}
