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
import java.util.function.Function;

import org.lacewingstep.standin.SocketRequest;
import org.lacewingstep.standin.SocketServer;

/** An upstream that answers each request with the bytes that a test supplies, and records the requests. */
final class RawUpstream implements AutoCloseable {
    /** Pause between the parts of a reply, so that the router reads them one after the other. */
    private static final long PART_INTERVAL_MILLISECONDS = 50;

    private final AtomicInteger connections = new AtomicInteger();
    private final List<Exchange> exchanges = new CopyOnWriteArrayList<>();
    private final SocketServer server;

    private volatile boolean answersBeforeBody;
    private volatile int bytesReadOfBody;
    private volatile Function<Exchange, Reply> responder =
            exchange -> Reply.keepOpen(response(sealed(exchange.identifier()), "done"));

    RawUpstream() throws IOException {
        server = new SocketServer(this::serve);
    }

    /** What happens to the connection after a reply. */
    enum End {
        KEEP_OPEN,
        CLOSE,
        RESET,
        /** Ends the output, reads what the router still sends, and closes then. */
        READ_AND_CLOSE
    }

    /**
     * A request with its place on its connection.
     *
     * @param request the request, not null
     * @param connection the number of the connection, from one
     * @param number the number of the request on its connection, from one
     */
    record Exchange(SocketRequest request, int connection, int number) {
        String identifier() {
            return request.headers().get("request-id");
        }
    }

    /**
     * The bytes of a reply.
     *
     * @param end what happens to the connection after the last part
     * @param parts the parts, which are written one after the other
     */
    record Reply(End end, List<String> parts) {
        static Reply keepOpen(final String... parts) {
            return new Reply(End.KEEP_OPEN, List.of(parts));
        }

        static Reply close(final String... parts) {
            return new Reply(End.CLOSE, List.of(parts));
        }

        static Reply readAndClose(final String... parts) {
            return new Reply(End.READ_AND_CLOSE, List.of(parts));
        }

        static Reply reset(final String... parts) {
            return new Reply(End.RESET, List.of(parts));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    int port() {
        return server.port();
    }

    List<Exchange> exchanges() {
        return exchanges;
    }

    void respondWith(final Function<Exchange, Reply> newResponder) {
        responder = newResponder;
        answersBeforeBody = false;
        bytesReadOfBody = 0;
        exchanges.clear();
    }

    /** Answers as soon as the head of a request has been read; a connection that is closed then is reset. */
    void respondBeforeBodyWith(final Function<Exchange, Reply> newResponder) {
        respondAmidBodyWith(0, newResponder);
    }

    /** Answers as soon as the head of a request and some bytes of its body have been read. */
    void respondAmidBodyWith(final int bytes, final Function<Exchange, Reply> newResponder) {
        respondWith(newResponder);
        bytesReadOfBody = bytes;
        answersBeforeBody = true;
    }

    /** Formats a response with a length. */
    static String response(final String statusAndHeaders, final String body) {
        return "HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Formats the status and headers of a success, without those that frame the body. */
    static String sealed(final String identifier) {
        return "200 OK\r\nRequest-Id: " + identifier + "\r\nResponse-Seal: s";
    }

    /** Formats the status and headers of a refusal, without those that frame the body. */
    static String refusal(final String identifier) {
        return "503 Full\r\nRequest-Id: " + identifier + "\r\nNot-Executed: 1";
    }

    /** Formats a response in chunks, without the last chunk. */
    static String unfinished(final String statusAndHeaders, final String body) {
        return "HTTP/1.1 " + statusAndHeaders + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    }

    /** Formats a response in chunks. */
    static String chunked(final String statusAndHeaders, final String body) {
        return unfinished(statusAndHeaders, body) + "0\r\n\r\n";
    }

    private void serve(final Socket socket) throws IOException, InterruptedException {
        final int connection = connections.incrementAndGet();
        final BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        int number = 0;
        End end = End.KEEP_OPEN;
        while (end == End.KEEP_OPEN) {
            final Optional<SocketRequest> request =
                    answersBeforeBody ? SocketRequest.readHead(reader) : SocketRequest.read(reader);
            if (request.isEmpty()) {
                return;
            }
            for (int i = 0; answersBeforeBody && i < bytesReadOfBody; i++) {
                reader.read();
            }
            number++;
            end = respond(socket, new Exchange(request.get(), connection, number));
        }
    }

    private End respond(final Socket socket, final Exchange exchange) throws IOException, InterruptedException {
        exchanges.add(exchange);
        final Reply reply = responder.apply(exchange);
        boolean first = true;
        for (final String part : reply.parts()) {
            if (!first) {
                Thread.sleep(PART_INTERVAL_MILLISECONDS);
            }
            first = false;
            socket.getOutputStream().write(part.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
        if (reply.end() == End.RESET) {
            socket.setSoLinger(true, 0);
        }
        if (reply.end() == End.READ_AND_CLOSE) {
            socket.shutdownOutput();
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
        return reply.end();
    }
}
