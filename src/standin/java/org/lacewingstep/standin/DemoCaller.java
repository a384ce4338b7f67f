package org.lacewingstep.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Calls instances and stand-ins as callers do. */
final class DemoCaller {
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /**
     * Asks for a completion.
     *
     * @param port the instance's port
     * @param key the caller's key, not null
     * @param prompt the prompt, not null
     * @param tokens the tokens wanted
     * @param stream whether to stream
     * @return the answer
     */
    CompletableFuture<HttpResponse<String>> complete(
            final int port, final String key, final String prompt, final int tokens, final boolean stream) {
        final String body = MAPPER.createObjectNode()
                .put("model", "pattern-7b")
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", stream)
                .toString();
        return client.sendAsync(post(port, "/v1/completions", key, body), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a GET to a port on loopback. */
    HttpResponse<String> get(final int port, final String path) throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(address(port, path)).timeout(LIMIT).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST to a port on loopback. */
    HttpResponse<String> send(final int port, final String path, final String key, final String body)
            throws IOException, InterruptedException {
        return client.send(post(port, path, key, body), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a call that is marked with an idempotency key. */
    HttpResponse<String> sendOnce(
            final int port, final String path, final String key, final String body, final String mark)
            throws IOException, InterruptedException {
        final HttpRequest request = HttpRequest.newBuilder(post(port, path, key, body), (name, value) -> true)
                .header("Idempotency-Key", mark)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Gathers the text of a streamed answer; says so if the end mark is missing. */
    static String streamedText(final String events) throws IOException {
        final StringBuilder text = new StringBuilder();
        boolean complete = false;
        for (final String line : events.split("\n")) {
            final String data =
                    line.startsWith("data:") ? line.substring("data:".length()).strip() : "";
            if ("[DONE]".equals(data)) {
                complete = true;
            } else if (!data.isEmpty()) {
                final JsonNode json = MAPPER.readTree(data);
                text.append(json.has("error") ? "<" + json.path("error") + ">" : choice(json));
            }
        }
        return complete ? text.toString() : text + "<no end mark>";
    }

    /** Gets the text of a whole answer. */
    static String wholeText(final String body) throws IOException {
        return choice(MAPPER.readTree(body));
    }

    /** Reads JSON. */
    static JsonNode json(final String body) throws IOException {
        return MAPPER.readTree(body);
    }

    private static String choice(final JsonNode json) {
        return json.path("choices").path(0).path("text").asText();
    }

    private static URI address(final int port, final String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    private static HttpRequest post(final int port, final String path, final String key, final String body) {
        final HttpRequest.Builder builder = HttpRequest.newBuilder(address(port, path))
                .timeout(LIMIT)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return key.isEmpty()
                ? builder.build()
                : builder.header("Authorization", "Bearer " + key).build();
    }
}
