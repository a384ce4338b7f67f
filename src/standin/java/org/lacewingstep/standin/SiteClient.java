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

/** An HTTP client for instances and stand-ins on loopback. */
final class SiteClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /**
     * Requests a completion.
     *
     * @param port the port of the instance
     * @param key the caller's key, empty for none, not null
     * @param prompt the prompt, not null
     * @param maxTokens the maximum number of output tokens
     * @param stream whether the response is streamed
     * @return the future response
     */
    CompletableFuture<HttpResponse<String>> complete(
            final int port, final String key, final String prompt, final int maxTokens, final boolean stream) {
        final String body = MAPPER.createObjectNode()
                .put("model", "pattern-7b")
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .put("stream", stream)
                .toString();
        return client.sendAsync(post(port, "/v1/completions", key, body), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a GET request to a port on loopback. */
    HttpResponse<String> get(final int port, final String path) throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(address(port, path)).timeout(TIMEOUT).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request to a port on loopback. */
    HttpResponse<String> send(final int port, final String path, final String key, final String body)
            throws IOException, InterruptedException {
        return client.send(post(port, path, key, body), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request with an idempotency key to a port on loopback. */
    HttpResponse<String> sendWithIdempotencyKey(
            final int port, final String path, final String key, final String body, final String idempotencyKey)
            throws IOException, InterruptedException {
        final HttpRequest request = HttpRequest.newBuilder(post(port, path, key, body), (name, value) -> true)
                .header("Idempotency-Key", idempotencyKey)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Joins the text of a streamed response and appends a note if the end mark is missing. */
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
                text.append(json.has("error") ? "<" + json.path("error") + ">" : choiceText(json));
            }
        }
        return complete ? text.toString() : text + "<no end mark>";
    }

    /** Returns the generated text of a response that is not streamed. */
    static String completionText(final String body) throws IOException {
        return choiceText(MAPPER.readTree(body));
    }

    /** Parses JSON text. */
    static JsonNode parseJson(final String body) throws IOException {
        return MAPPER.readTree(body);
    }

    private static String choiceText(final JsonNode json) {
        return json.path("choices").path(0).path("text").asText();
    }

    private static URI address(final int port, final String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    private static HttpRequest post(final int port, final String path, final String key, final String body) {
        final HttpRequest.Builder builder = HttpRequest.newBuilder(address(port, path))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return key.isEmpty()
                ? builder.build()
                : builder.header("Authorization", "Bearer " + key).build();
    }
}
