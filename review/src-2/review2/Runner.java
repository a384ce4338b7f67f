package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner that serves one request at a time on each connection. */
final class Runner implements AutoCloseable {
    /** Serves one request; returns false if the connection ends. */
    interface Handler {
        boolean serve(Runner runner, HttpMessage request, OutputStream output) throws Exception;
    }

    final String identifier;
    final String host;
    final ServerSocket server;
    final Record record;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Runner(final String identifier, final String host, final Record record, final Handler handler) throws IOException {
        this.identifier = identifier;
        this.host = host;
        this.record = record;
        this.handler = handler;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(host));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return host + ":" + server.getLocalPort();
    }

    /** The entry of this runner in the store. */
    String entry(final String service, final String zone, final String state, final int sequence, final String extra) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"seq\":" + sequence
                + ",\"born\":" + born + extra + "}";
    }

    private final long born = System.currentTimeMillis();

    @Override
    public void close() throws IOException {
        server.close();
        for (final Socket socket : connections) {
            socket.close();
        }
    }

    /** Ends like a process that crashes: all connections are reset, and none is accepted. */
    void reset() throws IOException {
        server.close();
        for (final Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (final IOException failure) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                final HttpMessage request = HttpMessage.read(input, false);
                if (request == null || !request.complete()) {
                    return;
                }
                if (!handler.serve(this, request, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (final Exception failure) {
            record.line(identifier + " lost a connection: " + failure.getMessage());
        } finally {
            connections.remove(socket);
        }
    }

    /** Writes a whole answer of this runner. */
    static void answer(
            final OutputStream output, final HttpMessage request, final int status, final String headers,
            final byte[] body)
            throws IOException {
        final String identifier = request.header("Request-Id");
        final String head = "HTTP/1.1 " + status + " Answer\r\n"
                + (identifier.isEmpty() ? "" : "Request-Id: " + identifier + "\r\n") + "Keep-Alive: timeout=5\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n";
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }
}
