package org.lacewingstep.platform;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Client of the platform's store; each call opens a connection, so that a silent one is not met again. */
final class PlatformStore {
    /** Longest time for an answer that waits for nothing: many times the usual few milliseconds. */
    static final Duration ANSWER_LIMIT = Duration.ofMillis(800);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PeerAddress address;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, not null
     * @param address the store's address, not null
     */
    PlatformStore(final HttpClient client, final PeerAddress address) {
        this.client = client;
        this.address = address;
    }

    /**
     * An answer of the store.
     *
     * @param status the HTTP status
     * @param body the body, not null
     */
    record Reply(int status, JsonNode body) {}

    /**
     * Makes a call.
     *
     * @param method the HTTP method, not null
     * @param path path and query, not null
     * @param limit the longest time for the answer, not null
     * @return the answer, whatever its status; fails if there is none
     */
    Promise<Reply> call(final String method, final String path, final Duration limit) {
        return request(path, limit, spec -> spec.method(method));
    }

    /**
     * Makes a call with a body.
     *
     * @param path the path, not null
     * @param body the body, not null
     * @return the answer, whatever its status; fails if there is none
     */
    Promise<Reply> post(final String path, final ObjectNode body) {
        return request(path, ANSWER_LIMIT, spec -> {
            spec.post();
            spec.body(content -> content.type("application/json").text(body.toString()));
        });
    }

    private Promise<Reply> request(
            final String path, final Duration limit, final ratpack.func.Action<RequestSpec> action) {
        return client.request(URI.create("http://" + address + path), spec -> {
                    spec.readTimeout(limit);
                    action.execute(spec);
                })
                .map(this::reply);
    }

    private Reply reply(final ReceivedResponse response) throws Exception {
        final String text = response.getBody().getText();
        return new Reply(response.getStatusCode(), text.isBlank() ? MAPPER.createObjectNode() : MAPPER.readTree(text));
    }

    /**
     * Creates the error of a call that was not answered as expected.
     *
     * @param step the call, not null
     * @param reply the answer, not null
     * @return the error, never null
     */
    RouterException refused(final String step, final Reply reply) {
        return new RouterException(
                ErrorCode.STORE_UNREACHABLE, step, address.toString(), "the store answered " + reply.status());
    }

    /**
     * Writes a text as a part of a query.
     *
     * @param text the text, not null
     * @return the encoded text, never null
     */
    static String encode(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
