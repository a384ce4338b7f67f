package org.lacewingstep.platform;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Client of the platform's store; opens a connection per call and so never reuses an unresponsive connection. */
final class PlatformStoreClient {
    /** Read timeout of calls other than long polls: many times the usual response time of a few milliseconds. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

    private static final String ERA_HEADER = "Store-Era";

    /** Decimal digits of an era that can be part of a a revision. */
    private static final Pattern ERA = Pattern.compile("[0-9]{1,4}");

    private static final int HTTP_OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PeerAddress address;
    private final Consumer<Event> events;
    private final HttpClient httpClient;
    private final AtomicReference<String> lastEraHeader = new AtomicReference<>("");

    /**
     * Creates a client.
     *
     * @param httpClient the HTTP client, not null
     * @param address the store's address, not null
     * @param events receives the era each time that the store names another one, not null
     */
    PlatformStoreClient(final HttpClient httpClient, final PeerAddress address, final Consumer<Event> events) {
        this.httpClient = httpClient;
        this.address = address;
        this.events = events;
    }

    /**
     * A response of the store.
     *
     * @param status the HTTP status
     * @param era the era of the store, zero if the response names none
     * @param body the JSON body, an empty object if the response has none, not null
     */
    record StoreResponse(int status, long era, JsonNode body) {
        /** Reads a revision of the store from a field of the body. */
        StoreRevision revision(final String field) {
            return new StoreRevision(era, body.path(field).asLong());
        }
    }

    /**
     * Sends a request without a body.
     *
     * @param method the HTTP method, not null
     * @param path the path and the query, not null
     * @param timeout the read timeout, not null
     * @return the response with any status; fails if no valid response arrives
     */
    Promise<StoreResponse> call(final String method, final String path, final Duration timeout) {
        return request(path, timeout, spec -> spec.method(method));
    }

    /**
     * Sends a POST request with a JSON body.
     *
     * @param path the path, not null
     * @param body the body, not null
     * @return the response with any status; fails if no valid response arrives
     */
    Promise<StoreResponse> post(final String path, final ObjectNode body) {
        return request(path, RESPONSE_TIMEOUT, spec -> {
            spec.post();
            spec.body(content -> content.type("application/json").text(body.toString()));
        });
    }

    private Promise<StoreResponse> request(
            final String path, final Duration timeout, final ratpack.func.Action<RequestSpec> configure) {
        return httpClient
                .request(URI.create("http://" + address + path), spec -> {
                    spec.readTimeout(timeout);
                    configure.execute(spec);
                })
                .map(this::decode);
    }

    /** Reports the era before the content of the response is, so that the content is judged by its own era. */
    private long observeEra(final ReceivedResponse response) {
        final String header =
                Optional.ofNullable(response.getHeaders().get(ERA_HEADER)).orElse("");
        final Optional<Long> era = Optional.of(header)
                .filter(text -> ERA.matcher(text).matches())
                .map(Long::valueOf)
                .filter(number -> number <= StoreRevision.MAX_ERA);
        if (!lastEraHeader.getAndSet(header).equals(header)) {
            events.accept(new Event.StoreEraObserved(era, header));
        }
        return era.orElse(0L);
    }

    /** A success always has a body, so one without a body broke off, and would read as a store without items. */
    private StoreResponse decode(final ReceivedResponse response) throws Exception {
        final long era = observeEra(response);
        final String text = response.getBody().getText();
        if (response.getStatusCode() == HTTP_OK && text.isBlank()) {
            throw new RouterException(
                    ErrorCode.STORE_UNREACHABLE, "decode", address.toString(), "the store's response has no body");
        }
        return new StoreResponse(
                response.getStatusCode(), era, text.isBlank() ? MAPPER.createObjectNode() : MAPPER.readTree(text));
    }

    /**
     * Creates the exception for a response with an unexpected status.
     *
     * @param step the step that failed, not null
     * @param response the response, not null
     * @return the exception, never null
     */
    RouterException unexpectedStatus(final String step, final StoreResponse response) {
        return new RouterException(
                ErrorCode.STORE_UNREACHABLE,
                step,
                address.toString(),
                "the store returned status " + response.status());
    }

    /**
     * Creates the exception for a response of another era than the one before, which is part of another state.
     *
     * @param response the response, not null
     * @return the exception, never null
     */
    RouterException unexpectedEra(final StoreResponse response) {
        return new RouterException(
                ErrorCode.STORE_UNREACHABLE,
                "range",
                address.toString(),
                "the store came back from a copy while it was read; the era is " + response.era());
    }

    /**
     * Encodes a value for use in a query string.
     *
     * @param text the value, not null
     * @return the encoded value, never null
     */
    static String encode(final String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
