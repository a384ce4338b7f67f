package org.lacewingstep.upstream;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;
import ratpack.sse.Event;
import ratpack.sse.internal.ServerSentEventDecodingPublisher;
import ratpack.stream.TransformablePublisher;

/** Client of model engines; opens a connection per call and so never reuses an unresponsive connection. */
public final class EngineClient {
    private static final int HTTP_OK = 200;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OWNER_HEADER = "X-Owner";
    private static final String REQUEST_HEADER = "X-Request-Id";

    private final HttpClient httpClient;
    private final Duration readTimeout;
    private final Incarnation self;

    /**
     * Creates a client.
     *
     * @param httpClient the HTTP client, not null
     * @param self this process, sent to engines as the owner of the attempts, not null
     * @param readTimeout the longest time without received data, not null
     */
    public EngineClient(final HttpClient httpClient, final Incarnation self, final Duration readTimeout) {
        this.httpClient = httpClient;
        this.self = self;
        this.readTimeout = readTimeout;
    }

    /**
     * Cancels an attempt at an engine.
     *
     * @param upstream the engine, not null
     * @param attempt the attempt, not null
     * @return the HTTP status of the response; fails if the engine cannot be reached
     */
    public Promise<Integer> cancel(final Upstream upstream, final AttemptIdentifier attempt) {
        return httpClient
                .post(uri(upstream, "/v1/requests/" + attempt + "/cancel"), request -> {})
                .map(ReceivedResponse::getStatusCode);
    }

    /**
     * Starts a generation at a decode engine and opens its event stream.
     *
     * @param upstream the decode engine, not null
     * @param attempt the attempt, not null
     * @param input the input and the output limit, not null
     * @param transferParameters the KV cache transfer parameters from the prefill engine, not null
     * @return the events; fails with a {@link RouterException} unless the engine returns status 200
     */
    public Promise<TransformablePublisher<Event<?>>> decode(
            final Upstream upstream,
            final AttemptIdentifier attempt,
            final GenerationInput input,
            final JsonNode transferParameters) {
        final ObjectNode body = requestBody(input, input.outputTokens(), true);
        body.set("kv_transfer_params", transferParameters);
        return stream(upstream, "decode", "/v1/completions", request -> {
            setIdentityHeaders(request, attempt);
            request.post().body(content -> content.type("application/json").text(body.toString()));
        });
    }

    /**
     * Fetches the load report of an upstream.
     *
     * @param upstream the upstream, not null
     * @return the load report; fails if the upstream cannot be reached or does not return status 200
     */
    public Promise<LoadReport> fetchLoad(final Upstream upstream) {
        return httpClient
                .get(uri(upstream, "/load"))
                .map(response -> decodeLoadReport(
                        requireOk(upstream, "load", response).getBody().getText()));
    }

    /**
     * Processes a prompt at a prefill engine, which keeps the KV cache for a decode engine.
     *
     * @param upstream the prefill engine, not null
     * @param attempt the attempt, not null
     * @param input the input and the output limit, not null
     * @return the KV cache transfer parameters; fails with a {@link RouterException} unless the engine returns status
     *     200 with these parameters
     */
    public Promise<JsonNode> prefill(
            final Upstream upstream, final AttemptIdentifier attempt, final GenerationInput input) {
        final ObjectNode body = requestBody(input, 1, false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true).put("do_remote_prefill", false);
        return httpClient
                .post(uri(upstream, "/v1/completions"), request -> {
                    setIdentityHeaders(request, attempt);
                    request.readTimeout(readTimeout);
                    request.body(content -> content.type("application/json").text(body.toString()));
                })
                .map(response -> transferParameters(upstream, requireOk(upstream, "prefill", response)));
    }

    private static JsonNode transferParameters(final Upstream upstream, final ReceivedResponse response)
            throws JsonProcessingException {
        final JsonNode parameters =
                MAPPER.readTree(response.getBody().getText()).path("kv_transfer_params");
        if (!parameters.isObject()) {
            throw new RouterException(
                    ErrorCode.UPSTREAM_FAILED,
                    "prefill",
                    upstream.name().value(),
                    "the response has no kv_transfer_params");
        }
        return parameters;
    }

    /**
     * Reopens the event stream of a running generation.
     *
     * @param upstream the decode engine, not null
     * @param attempt the attempt, not null
     * @param receivedTokens the number of tokens of this attempt received so far
     * @return the events after the received tokens; fails with a {@link RouterException} unless the engine returns
     *     status 200
     */
    public Promise<TransformablePublisher<Event<?>>> resume(
            final Upstream upstream, final AttemptIdentifier attempt, final long receivedTokens) {
        return stream(upstream, "resume", "/v1/requests/" + attempt + "/stream", request -> {
            setIdentityHeaders(request, attempt);
            request.getHeaders().set("Last-Event-ID", Long.toString(receivedTokens));
        });
    }

    private Promise<TransformablePublisher<Event<?>>> stream(
            final Upstream upstream,
            final String step,
            final String path,
            final ratpack.func.Action<RequestSpec> configure) {
        return httpClient
                .requestStream(uri(upstream, path), request -> {
                    configure.execute(request);
                    request.readTimeout(readTimeout);
                })
                .map(response -> {
                    if (response.getStatusCode() != HTTP_OK) {
                        throw statusError(upstream, step, response.getStatusCode());
                    }
                    return new ServerSentEventDecodingPublisher(response.getBody(), httpClient.getByteBufAllocator());
                });
    }

    private void setIdentityHeaders(final RequestSpec request, final AttemptIdentifier attempt) {
        request.getHeaders().set(REQUEST_HEADER, attempt.toString());
        request.getHeaders().set(OWNER_HEADER, self.toString());
    }

    private static ReceivedResponse requireOk(
            final Upstream upstream, final String step, final ReceivedResponse response) {
        if (response.getStatusCode() != HTTP_OK) {
            throw statusError(upstream, step, response.getStatusCode());
        }
        return response;
    }

    private static RouterException statusError(final Upstream upstream, final String step, final int status) {
        final boolean overloaded = status == HTTP_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE;
        return new RouterException(
                overloaded ? ErrorCode.NO_CAPACITY : ErrorCode.UPSTREAM_FAILED,
                step,
                upstream.name().value(),
                "the upstream returned status " + status);
    }

    private static ObjectNode requestBody(final GenerationInput input, final long outputTokens, final boolean stream) {
        return MAPPER.createObjectNode()
                .put("model", input.model())
                .put("prompt", input.prompt())
                .put("max_tokens", outputTokens)
                .put("stream", stream);
    }

    private static LoadReport decodeLoadReport(final String text) throws IOException {
        final JsonNode json = MAPPER.readTree(text);
        final List<LoadReport.HeldMemory> heldMemory = new ArrayList<>();
        for (final JsonNode running : json.path("running")) {
            heldMemory.add(new LoadReport.HeldMemory(
                    AttemptIdentifier.parse(running.path("id").asText()),
                    Incarnation.parse(running.path("owner").asText()),
                    running.path("pieces").asInt()));
        }
        return new LoadReport(json.path("start_id").asText(), json.path("cold").asBoolean(), heldMemory);
    }

    private static URI uri(final Upstream upstream, final String path) {
        return URI.create("http://" + upstream.address() + path);
    }

    /**
     * The input and the output limit of a generation.
     *
     * @param model the name of the model, not null
     * @param prompt the prompt, followed by the text generated by earlier attempts, not null
     * @param outputTokens the maximum number of tokens to generate
     */
    public record GenerationInput(String model, String prompt, long outputTokens) {}
}
