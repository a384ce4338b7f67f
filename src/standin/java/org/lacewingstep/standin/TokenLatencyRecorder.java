package org.lacewingstep.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.UniformReservoir;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Measures the time to the first token and between tokens, of requests to engines or through the router. */
final class TokenLatencyRecorder {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int RESERVOIR_SIZE = 100_000;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final Histogram firstTokenTimes = new Histogram(new UniformReservoir(RESERVOIR_SIZE));
    private final Histogram betweenTokenTimes = new Histogram(new UniformReservoir(RESERVOIR_SIZE));

    /** Measures one completion at a prefill and a decode engine, without the router. */
    void measureDirect(final int prefillPort, final int decodePort, final String identifier, final int tokens)
            throws Exception {
        final long start = System.nanoTime();
        final ObjectNode body = body(tokens, false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true);
        final HttpResponse<String> prefilled = client.send(
                request(prefillPort, identifier, "", body.toString()), HttpResponse.BodyHandlers.ofString());
        final JsonNode transfer = MAPPER.readTree(prefilled.body()).path("kv_transfer_params");
        final ObjectNode decode = body(tokens, true);
        decode.set("kv_transfer_params", transfer);
        measureStream(start, request(decodePort, identifier, "", decode.toString()));
    }

    /** Measures one completion through an instance of the router. */
    void measureRouted(final int instancePort, final String key, final int tokens) throws Exception {
        final long start = System.nanoTime();
        measureStream(start, request(instancePort, "", key, body(tokens, true).toString()));
    }

    /** Returns the 50th and 99th percentiles of the recorded times as text. */
    String summary() {
        return "first token p50 %.2f ms, p99 %.2f ms; between tokens p50 %.2f ms, p99 %.2f ms"
                .formatted(
                        quantileMilliseconds(firstTokenTimes, 0.5),
                        quantileMilliseconds(firstTokenTimes, 0.99),
                        quantileMilliseconds(betweenTokenTimes, 0.5),
                        quantileMilliseconds(betweenTokenTimes, 0.99));
    }

    private void measureStream(final long start, final HttpRequest request) throws Exception {
        final List<Long> tokenTimes = new ArrayList<>();
        client.send(request, HttpResponse.BodyHandlers.ofLines()).body().forEach(line -> {
            if (line.startsWith("data:")) {
                tokenTimes.add(System.nanoTime());
            }
        });
        firstTokenTimes.update(tokenTimes.getFirst() - start);
        for (int index = 1; index < tokenTimes.size() - 2; index++) {
            betweenTokenTimes.update(tokenTimes.get(index) - tokenTimes.get(index - 1));
        }
    }

    private static ObjectNode body(final int tokens, final boolean stream) {
        return MAPPER.createObjectNode()
                .put("model", "pattern-7b")
                .put("prompt", "Describe a dye recipe for reed.")
                .put("max_tokens", tokens)
                .put("stream", stream);
    }

    private static HttpRequest request(final int port, final String identifier, final String key, final String body) {
        final HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + port + "/v1/completions"))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!identifier.isEmpty()) {
            builder.header("X-Request-Id", identifier).header("X-Owner", "direct/1");
        }
        if (!key.isEmpty()) {
            builder.header("Authorization", "Bearer " + key);
        }
        return builder.build();
    }

    private static double quantileMilliseconds(final Histogram histogram, final double quantile) {
        return histogram.getSnapshot().getValue(quantile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
