package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.upstream.UpstreamClient;
import org.lacewingstep.upstream.UpstreamClient.GenerationWork;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.sse.ServerSentEvents;
import ratpack.stream.Streams;

/** Answers completions, streamed or whole. */
public final class CompletionHandler implements Handler {
    private final UpstreamClient client;
    private final RequestDesk desk;
    private final TrafficLimits limits;

    /**
     * Creates a handler.
     *
     * @param desk opens requests, not null
     * @param client the upstreams' client, not null
     * @param limits the limits of what callers send, not null
     */
    public CompletionHandler(final RequestDesk desk, final UpstreamClient client, final TrafficLimits limits) {
        this.desk = desk;
        this.client = client;
        this.limits = limits;
    }

    @Override
    public void handle(final Context context) {
        final RequestIdentifier request = desk.nextIdentifier();
        CallerBody.read(context, limits, request).then(body -> {
            try {
                answer(context, request, CompletionRequest.parse(body.getText()));
            } catch (final RequestFailure failure) {
                ErrorAnswer.send(context, request, failure);
            }
        });
    }

    private void answer(final Context context, final RequestIdentifier request, final CompletionRequest asked) {
        final long promptTokens = limits.tokens(asked.prompt().getBytes(StandardCharsets.UTF_8).length);
        final InstructionInbox inbox = desk.open(
                context, request, new ServiceSelector.ByModel(asked.model()), promptTokens, asked.outputTokens());
        final GenerationSession session = new GenerationSession(
                request,
                new GenerationWork(asked.model(), asked.prompt(), asked.outputTokens()),
                inbox,
                client,
                desk.upstreams(),
                desk.events());
        desk.onDisconnect(context, session::abandon);
        context.onClose(outcome -> {
            session.abandon();
            desk.close(request);
        });
        session.begin()
                .onError(failure -> ErrorAnswer.send(context, request, failure))
                .then(begun -> {
                    if (asked.stream()) {
                        stream(context, request, session);
                    } else {
                        whole(context, request, session);
                    }
                });
    }

    private void stream(final Context context, final RequestIdentifier request, final GenerationSession session) {
        context.getResponse().getHeaders().set(ErrorAnswer.REQUEST_HEADER, request.value());
        final CallerStream frames = new CallerStream(request, session);
        context.render(ServerSentEvents.serverSentEvents(
                Streams.flatYield(turn -> frames.next()),
                event -> event.id(CallerFrame::identifier).data(CallerFrame::data)));
    }

    private void whole(final Context context, final RequestIdentifier request, final GenerationSession session) {
        Streams.flatYield(turn -> session.next().map(part -> part.orElse(null)))
                .toList()
                .onError(failure -> ErrorAnswer.send(context, request, failure))
                .then(parts -> {
                    context.getResponse().getHeaders().set(ErrorAnswer.REQUEST_HEADER, request.value());
                    context.getResponse().send("application/json", join(request, parts));
                });
    }

    private static String join(final RequestIdentifier request, final List<CompletionChunk> parts) {
        final StringBuilder text = new StringBuilder();
        parts.forEach(part -> text.append(part.text()));
        return CompletionAnswer.json(request, text.toString(), parts.getLast().finishReason());
    }
}
