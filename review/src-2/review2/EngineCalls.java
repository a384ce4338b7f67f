package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers what the router itself asks of an engine: reservations, processed prompts and orders. */
final class EngineCalls {
    private static final long PREFILL_MILLIS = 50;

    private final AtomicInteger handles = new AtomicInteger();

    /** Answers a call of the router; returns false if the request is a caller's, which the engine has to run. */
    boolean answer(final Runner engine, final HttpMessage request, final OutputStream output)
            throws IOException, InterruptedException {
        final String path = request.firstLine().split(" ")[1];
        if (!request.header("Expect-Instance").equals(engine.identifier)) {
            Runner.answer(output, request, 421, "Instance-Id: " + engine.identifier + "\r\n", new byte[0]);
        } else if (path.equals("/hold-take")) {
            Runner.answer(output, request, 200, "Content-Type: application/json\r\n", json("hold"));
        } else if (path.startsWith("/hold-drop/")) {
            Runner.answer(output, request, 200, "", new byte[0]);
        } else if (path.equals("/order")) {
            Runner.answer(output, request, 409, "", new byte[0]);
        } else if (request.header("Stage").equals("prefill")) {
            Thread.sleep(PREFILL_MILLIS);
            Runner.answer(output, request, 200, "Content-Type: application/json\r\n", json("kvHandle"));
        } else {
            return false;
        }
        return true;
    }

    private byte[] json(final String field) {
        final String handle = Integer.toHexString(handles.incrementAndGet() * 7919);
        return ("{\"" + field + "\":\"" + handle + "\",\"tokens\":1700,\"version\":1}").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes the head of a stream. */
    static void head(final OutputStream output, final String identifier, final String headers) throws IOException {
        output.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + identifier + "\r\nResponse-Seal: seal-" + identifier
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + headers + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes one event of a stream. */
    static void event(final OutputStream output, final int number) throws IOException {
        final String text = "id: " + number + "\ndata: piece " + number + "\n\n";
        output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Ends a stream as complete. */
    static void end(final OutputStream output) throws IOException {
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** The fields of an entry in the store that only engines have. */
    static String fields(final String stage) {
        return ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }

    /** A desired state with one route of streams that may not be resumed. */
    static String configuration(final String service) {
        return """
                {"version":7,"routes":[{"name":"r-828m82t","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming",
                "timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"%s","maxAttempts":1,"anonymous":false,
                "stickySessions":true,"resumable":false,"gapAimMs":300}],
                "services":[{"name":"%s","healthPath":"/health","maxConnections":630,"protocol":"h1","tls":false,
                "coldStartS":3.0,"coldPerS":16.0,"engine":{"slots":128,"kvTokens":37608,"kvBytes":18432,"linkMbps":370000.0,
                "moves":true,"backups":true,"stride":11,"most":12,"kvHoldS":0.5,"stageSwitchS":6.0,"pinMs":4000.0,
                "holdMs":2000.0,"models":[{"name":"m"}]}}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1,"unit":"token_stream","plainTokens":200,
                "ratePerS":36000,"burst":36000}]}"""
                .formatted(service, service);
    }

    /** A caller's request for a stream. */
    static byte[] request(final String identifier, final String prefix) {
        return ("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + identifier
                        + "\r\nModel: m\r\nToken-Count: 1700,72\r\nPrompt-Prefix: " + prefix
                        + "\r\nDeadline-Ms: 14000\r\nApi-Key: k1\r\nContent-Length: 5\r\n\r\nhello")
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
