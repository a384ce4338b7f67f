package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: many users upload bodies at once that are within the limits of the desired state. */
final class LargeBodies implements Main.Case {
    private static final int UPLOADS = 28;
    private static final int USUAL_UPLOADS = 12;
    private static final int UPLOAD_BYTES = 4_194_304;
    private static final int PIECE_BYTES = 32_768;
    /** A piece each 20 ms is 16 Mbit/s an upload. */
    private static final long PIECE_MILLIS = 20;
    private static final int SMALL_PER_SECOND = 20;
    private static final int ROUTE_MILLIS = 2500;
    private static final int DEADLINE_MILLIS = 10_000;

    private final AtomicInteger total = new AtomicInteger();
    private final AtomicInteger over = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    @Override
    public boolean run(final Site site, final boolean trouble) throws Exception {
        final Recorder recorder = site.recorder;
        for (int i = 0; i < 3; i++) {
            site.runners.add(new Runner(
                    site.store, site.host(100 + i), "i-%08x".formatted(0x7f3a0000 + i), "wuno96b", Site.ZONES[i], "") {
                @Override
                boolean run(final Http.Message request, final OutputStream output)
                        throws IOException, InterruptedException {
                    recorder.log("run %s at %s, body of %d bytes", request.header("request-id"), id, request.body().length);
                    Thread.sleep(43);
                    writeAnswer(request, output, "x".repeat(800));
                    return true;
                }
            });
        }
        site.writeTable(
                """
                {"name":"r-828m82t","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe",
                "timeoutMs":2500,"targetLatencyMs":193,"priority":2,"service":"wuno96b","maxAttempts":2,
                "anonymous":false}""",
                """
                {"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,
                "coldStartS":0.0,"coldPerS":0.0}""",
                "\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0");
        site.addRouters(1);
        site.start();
        Thread.sleep(3000);
        final Router router = site.routers.getFirst();
        final List<Thread> threads = new ArrayList<>();
        final int uploads = trouble ? UPLOADS : USUAL_UPLOADS;
        recorder.tell("%d uploads of %d bytes begin, beside %d small requests a second", uploads, UPLOAD_BYTES, SMALL_PER_SECOND);
        for (int i = 0; i < uploads; i++) {
            threads.add(Thread.ofVirtual().start(() -> upload(site, router)));
        }
        for (int i = 0; i < SMALL_PER_SECOND * 12; i++) {
            threads.add(Thread.ofVirtual().start(() -> ask(site, router)));
            Thread.sleep(1000 / SMALL_PER_SECOND);
        }
        for (final Thread thread : threads) {
            thread.join();
        }
        recorder.tell("%d small requests, %d of them longer than the route's %d ms", total.get(), over.get(), ROUTE_MILLIS);
        recorder.tell("%d without an answer 0.5 s after it; allowed: under 8, or a quarter of the longer ones", late.get());
        return late.get() < 8 || late.get() <= over.get() / 4.0;
    }

    private static String head(final String id, final int length) {
        return """
                POST /puxa403/2f HTTP/1.1\r
                Host: ficu95.example\r
                Request-Id: %s\r
                Deadline-Ms: %d\r
                Api-Key: %s\r
                Content-Length: %d\r
                \r
                """
                .formatted(id, DEADLINE_MILLIS, Site.KEY, length);
    }

    private static void upload(final Site site, final Router router) {
        final String id = site.nextRequestId();
        site.recorder.log("upload %s begins", id);
        try (Socket socket = new Socket()) {
            socket.connect(router.front, 1000);
            socket.setSoTimeout(20_000);
            final OutputStream output = socket.getOutputStream();
            output.write(Http.ascii(head(id, UPLOAD_BYTES)));
            final byte[] piece = new byte[PIECE_BYTES];
            for (int sent = 0; sent < UPLOAD_BYTES; sent += PIECE_BYTES) {
                output.write(piece);
                Thread.sleep(PIECE_MILLIS);
            }
            final Http.Message answer = Http.read(Http.buffered(socket.getInputStream()), true);
            site.recorder.log("upload %s: %s", id, answer == null ? "closed without an answer" : answer.startLine());
        } catch (final IOException | InterruptedException failure) {
            site.recorder.log("upload %s: %s", id, failure);
        }
    }

    private void ask(final Site site, final Router router) {
        final String id = site.nextRequestId();
        final double begin = site.recorder.seconds();
        site.recorder.log("sent %s", id);
        final Http.Message answer = Site.call(router, head(id, 2), Http.ascii("{}"), DEADLINE_MILLIS);
        final double took = site.recorder.seconds() - begin;
        site.recorder.log("answered %s after %.3f s: %s", id, took, answer == null ? "nothing" : answer.startLine());
        total.incrementAndGet();
        if (took > ROUTE_MILLIS / 1000.0) {
            over.incrementAndGet();
        }
        if (took > ROUTE_MILLIS / 1000.0 + 0.5) {
            late.incrementAndGet();
        }
    }
}
