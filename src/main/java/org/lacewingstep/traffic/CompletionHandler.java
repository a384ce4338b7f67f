package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.upstream.EngineClient;
import org.lacewingstep.upstream.EngineClient.GenerationInput;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.sse.ServerSentEvents;
import ratpack.stream.Streams;

/** Handles completion requests, with a streamed or a complete response. */
public final class CompletionHandler implements Handler {
    private final EngineClient engineClient;
    private final OpenRequests openRequests;
    private final TrafficLimits limits;

    /**
     * Creates a handler for completion requests.
     *
     * @param openRequests registers open requests, not null
     * @param engineClient sends prefill and decode requests to upstreams, not null
     * @param limits the limits of callers' requests, not null
     */
    public CompletionHandler(
            final OpenRequests openRequests, final EngineClient engineClient, final TrafficLimits limits) {
        this.openRequests = openRequests;
        this.engineClient = engineClient;
        this.limits = limits;
    }

    @Override
    public void handle(final Context context) {
        final RequestIdentifier request = openRequests.nextIdentifier();
        CallerBody.read(context, limits, request).then(body -> {
            try {
                startGeneration(context, request, CompletionRequest.parse(body.getText()));
            } catch (final RequestFailure failure) {
                ErrorResponse.send(context, request, failure);
            }
        });
    }

    private void startGeneration(
            final Context context, final RequestIdentifier request, final CompletionRequest completion) {
        final long promptTokens = limits.estimateTokens(completion.prompt().getBytes(StandardCharsets.UTF_8).length);
        final InstructionInbox inbox = openRequests.open(
                context,
                request,
                new ServiceSelector.ByModel(completion.model()),
                promptTokens,
                completion.outputTokens());
        final GenerationSession session = new GenerationSession(
                request,
                new GenerationInput(completion.model(), completion.prompt(), completion.outputTokens()),
                inbox,
                engineClient,
                openRequests.upstreams(),
                openRequests.events());
        openRequests.onDisconnect(context, session::abandon);
        context.onClose(outcome -> {
            session.abandon();
            openRequests.close(request);
        });
        session.awaitFirstChunk()
                .onError(failure -> ErrorResponse.send(context, request, failure))
                .then(hasFirstChunk -> {
                    if (completion.stream()) {
                        sendStream(context, request, session);
                    } else {
                        sendComplete(context, request, session);
                    }
                });
    }

    private void sendStream(final Context context, final RequestIdentifier request, final GenerationSession session) {
        context.getResponse().getHeaders().set(ErrorResponse.REQUEST_HEADER, request.value());
        final CallerStream callerEvents = new CallerStream(request, session);
        context.render(ServerSentEvents.serverSentEvents(
                Streams.flatYield(yieldRequest -> callerEvents.next()),
                event -> event.id(CallerEvent::identifier).data(CallerEvent::data)));
    }

    private void sendComplete(final Context context, final RequestIdentifier request, final GenerationSession session) {
        Streams.flatYield(yieldRequest -> session.next().map(chunk -> chunk.orElse(null)))
                .toList()
                .onError(failure -> ErrorResponse.send(context, request, failure))
                .then(chunks -> {
                    context.getResponse().getHeaders().set(ErrorResponse.REQUEST_HEADER, request.value());
                    context.getResponse().send("application/json", encodeComplete(request, chunks));
                });
    }

    private static String encodeComplete(final RequestIdentifier request, final List<CompletionChunk> chunks) {
        final StringBuilder text = new StringBuilder();
        chunks.forEach(chunk -> text.append(chunk.text()));
        return CompletionResponse.encode(
                request, text.toString(), chunks.getLast().finishReason());
    }
}
