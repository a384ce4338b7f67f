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

/** Client of model engines; every call uses a connection of its own, so that a silent one cannot be met again. */
public final class UpstreamClient {
    private static final int HTTP_OK = 200;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OWNER_HEADER = "X-Owner";
    private static final String REQUEST_HEADER = "X-Request-Id";

    private final HttpClient client;
    private final Incarnation self;
    private final Duration silenceLimit;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, not null
     * @param self this process, named as the owner of what engines hold, not null
     * @param silenceLimit how long an engine may send nothing, not null
     */
    public UpstreamClient(final HttpClient client, final Incarnation self, final Duration silenceLimit) {
        this.client = client;
        this.self = self;
        this.silenceLimit = silenceLimit;
    }

    /**
     * Cancels an attempt.
     *
     * @param upstream the engine, not null
     * @param attempt the attempt, not null
     * @return the status of the answer; fails if the engine cannot be reached
     */
    public Promise<Integer> cancel(final Upstream upstream, final AttemptIdentifier attempt) {
        return client.post(address(upstream, "/v1/requests/" + attempt + "/cancel"), request -> {})
                .map(ReceivedResponse::getStatusCode);
    }

    /**
     * Opens the stream of a generation.
     *
     * @param upstream the decode engine, not null
     * @param attempt the attempt, not null
     * @param work what to generate, not null
     * @param transfer the hand-over parameters from the prefill engine, not null
     * @return the events; fails with a {@link RouterException} if the engine refuses
     */
    public Promise<TransformablePublisher<Event<?>>> decode(
            final Upstream upstream,
            final AttemptIdentifier attempt,
            final GenerationWork work,
            final JsonNode transfer) {
        final ObjectNode body = body(work, work.outputTokens(), true);
        body.set("kv_transfer_params", transfer);
        return stream(upstream, "decode", "/v1/completions", request -> {
            describe(request, attempt);
            request.post().body(content -> content.type("application/json").text(body.toString()));
        });
    }

    /**
     * Reads the load of an upstream.
     *
     * @param upstream the upstream, not null
     * @return the report; fails if it cannot be had
     */
    public Promise<LoadReport> load(final Upstream upstream) {
        return client.get(address(upstream, "/load"))
                .map(answer -> report(check(upstream, "load", answer).getBody().getText()));
    }

    /**
     * Processes a prompt and keeps its KV cache for a decode engine.
     *
     * @param upstream the prefill engine, not null
     * @param attempt the attempt, not null
     * @param work what to generate, not null
     * @return the hand-over parameters; fails with a {@link RouterException} if the engine refuses
     */
    public Promise<JsonNode> prefill(
            final Upstream upstream, final AttemptIdentifier attempt, final GenerationWork work) {
        final ObjectNode body = body(work, 1, false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true).put("do_remote_prefill", false);
        return client.post(address(upstream, "/v1/completions"), request -> {
                    describe(request, attempt);
                    request.readTimeout(silenceLimit);
                    request.body(content -> content.type("application/json").text(body.toString()));
                })
                .map(answer -> transfer(upstream, check(upstream, "prefill", answer)));
    }

    private static JsonNode transfer(final Upstream upstream, final ReceivedResponse answer)
            throws JsonProcessingException {
        final JsonNode transfer = MAPPER.readTree(answer.getBody().getText()).path("kv_transfer_params");
        if (!transfer.isObject()) {
            throw new RouterException(
                    ErrorCode.UPSTREAM_FAILED,
                    "prefill",
                    upstream.name().value(),
                    "the answer has no kv_transfer_params");
        }
        return transfer;
    }

    /**
     * Opens the stream of a running generation again.
     *
     * @param upstream the decode engine, not null
     * @param attempt the attempt, not null
     * @param received tokens of this attempt received so far
     * @return the events after those; fails with a {@link RouterException} if the engine refuses
     */
    public Promise<TransformablePublisher<Event<?>>> resume(
            final Upstream upstream, final AttemptIdentifier attempt, final long received) {
        return stream(upstream, "resume", "/v1/requests/" + attempt + "/stream", request -> {
            describe(request, attempt);
            request.getHeaders().set("Last-Event-ID", Long.toString(received));
        });
    }

    private Promise<TransformablePublisher<Event<?>>> stream(
            final Upstream upstream,
            final String step,
            final String path,
            final ratpack.func.Action<RequestSpec> action) {
        return client.requestStream(address(upstream, path), request -> {
                    action.execute(request);
                    request.readTimeout(silenceLimit);
                })
                .map(answer -> {
                    if (answer.getStatusCode() != HTTP_OK) {
                        throw refused(upstream, step, answer.getStatusCode());
                    }
                    return new ServerSentEventDecodingPublisher(answer.getBody(), client.getByteBufAllocator());
                });
    }

    private void describe(final RequestSpec request, final AttemptIdentifier attempt) {
        request.getHeaders().set(REQUEST_HEADER, attempt.toString());
        request.getHeaders().set(OWNER_HEADER, self.toString());
    }

    private static ReceivedResponse check(final Upstream upstream, final String step, final ReceivedResponse answer) {
        if (answer.getStatusCode() != HTTP_OK) {
            throw refused(upstream, step, answer.getStatusCode());
        }
        return answer;
    }

    private static RouterException refused(final Upstream upstream, final String step, final int status) {
        final boolean overloaded = status == HTTP_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE;
        return new RouterException(
                overloaded ? ErrorCode.NO_CAPACITY : ErrorCode.UPSTREAM_FAILED,
                step,
                upstream.name().value(),
                "the upstream answered with status " + status);
    }

    private static ObjectNode body(final GenerationWork work, final long outputTokens, final boolean stream) {
        return MAPPER.createObjectNode()
                .put("model", work.model())
                .put("prompt", work.prompt())
                .put("max_tokens", outputTokens)
                .put("stream", stream);
    }

    private static LoadReport report(final String text) throws IOException {
        final JsonNode json = MAPPER.readTree(text);
        final List<LoadReport.HeldMemory> held = new ArrayList<>();
        for (final JsonNode running : json.path("running")) {
            held.add(new LoadReport.HeldMemory(
                    AttemptIdentifier.parse(running.path("id").asText()),
                    Incarnation.parse(running.path("owner").asText()),
                    running.path("pieces").asInt()));
        }
        return new LoadReport(json.path("start_id").asText(), json.path("cold").asBoolean(), held);
    }

    private static URI address(final Upstream upstream, final String path) {
        return URI.create("http://" + upstream.address() + path);
    }

    /**
     * What an engine has to generate.
     *
     * @param model the model, not null
     * @param prompt the prompt with what was generated before, not null
     * @param outputTokens most tokens to generate
     */
    public record GenerationWork(String model, String prompt, long outputTokens) {}
}
