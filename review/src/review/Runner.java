package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner as PROTOCOL.md describes it; cases override how a request runs. */
class Runner implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final String id;
    final String service;
    final String stage;
    private final String zone;
    private final Server server;
    private final Store store;
    private final AtomicInteger sequence = new AtomicInteger();

    private volatile long born = System.currentTimeMillis();

    /** Creates a runner; {@code stage} is empty for a plain service. */
    Runner(final Store store, final String host, final String id, final String service, final String zone, final String stage)
            throws IOException {
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.zone = zone;
        this.store = store;
        this.server = new Server(host, this::serve);
    }

    void register() {
        final ObjectNode entry = MAPPER.createObjectNode()
                .put("service", service)
                .put("address", server.address())
                .put("zone", zone)
                .put("version", 1)
                .put("slots", 128)
                .put("state", "ready")
                .put("coldRemainingMs", 0)
                .put("seq", sequence.incrementAndGet())
                .put("born", born);
        if (!stage.isEmpty()) {
            entry.put("stage", stage);
        }
        store.put("servers/" + id, entry);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Crashes: resets its connections, and is back under the same identifier after the given time. */
    void crash(final long awayMillis) {
        server.setResetting(true);
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(awayMillis);
            } catch (final InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
            born = System.currentTimeMillis();
            server.setResetting(false);
            register();
        });
    }

    /** Runs a request and writes its answer; returns whether the connection stays open. */
    boolean run(final Http.Message request, final OutputStream output) throws IOException, InterruptedException {
        writeAnswer(request, output, "{}");
        return true;
    }

    /** Called when a request has reached this runner, before anything else is done with it. */
    void reached(final Http.Message request) {}

    private void serve(final Socket socket) throws IOException, InterruptedException {
        final InputStream input = Http.buffered(socket.getInputStream());
        final OutputStream output = socket.getOutputStream();
        Http.Message request = Http.read(input, false);
        while (request != null && request.complete() && answer(request, output)) {
            request = Http.read(input, false);
        }
    }

    private boolean answer(final Http.Message request, final OutputStream output)
            throws IOException, InterruptedException {
        final String path = request.target();
        if (!request.header("expect-instance").isEmpty() && !request.header("expect-instance").equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected\r\n" + identifier(request) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (path.equals("/hold-take")) {
            writeJson(output, "", "{\"hold\":\"" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 1) + "\"}");
            return true;
        }
        if (path.startsWith("/hold-drop/") || path.startsWith("/kv-handle/") || path.equals("/order")) {
            writeJson(output, "", "{}");
            return true;
        }
        reached(request);
        if (request.header("stage").equals("prefill")) {
            Thread.sleep(98);
            writeJson(
                    output,
                    identifier(request),
                    "{\"kvHandle\":\"" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 1)
                            + "\",\"tokens\":3200,\"version\":1}");
            return true;
        }
        return run(request, output);
    }

    /** Writes a success with the whole body and its length. */
    void writeAnswer(final Http.Message request, final OutputStream output, final String body) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\n" + identifier(request) + "Response-Seal: " + id + ".1\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    /** Writes a stream of events; the time between events is in milliseconds. */
    void writeStream(final Http.Message request, final OutputStream output, final int events, final long gapMillis)
            throws IOException, InterruptedException {
        writeStreamHead(request, output);
        for (int number = 1; number <= events; number++) {
            writeEvent(output, number);
            Thread.sleep(gapMillis);
        }
        write(output, "0\r\n\r\n");
    }

    void writeStreamHead(final Http.Message request, final OutputStream output) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\n" + identifier(request) + "Response-Seal: " + id
                        + ".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void writeEvent(final OutputStream output, final int number) throws IOException {
        final String event = "id: " + number + "\ndata: token " + number + "\n\n";
        write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    private static void writeJson(final OutputStream output, final String headers, final String body) throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    private static String identifier(final Http.Message request) {
        return "Request-Id: " + request.header("request-id") + "\r\n";
    }

    static void write(final OutputStream output, final String text) throws IOException {
        output.write(Http.ascii(text));
        output.flush();
    }
}
