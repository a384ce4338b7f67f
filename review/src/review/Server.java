package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address and serves each one on a thread of its own. */
final class Server implements AutoCloseable {
    private static final int BACKLOG = 500;

    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;

    private volatile boolean resetting;

    /** Serves one connection, which is closed afterwards. */
    interface Handler {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    Server(final String host, final Handler handler) throws IOException {
        this.handler = handler;
        this.server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), BACKLOG);
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Resets all connections, and new ones too until this ends. */
    void setResetting(final boolean next) {
        resetting = next;
        if (next) {
            open.forEach(Server::reset);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(Server::reset);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                if (resetting) {
                    reset(socket);
                } else {
                    Thread.ofVirtual().start(() -> serve(socket));
                }
            } catch (final IOException closed) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            handler.serve(socket);
        } catch (final IOException | InterruptedException disconnected) {
            // The peer closed the connection, which it may do at any time.
        } finally {
            open.remove(socket);
        }
    }

    static void reset(final Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (final IOException closed) {
            // The connection is closed already.
        }
    }
}
