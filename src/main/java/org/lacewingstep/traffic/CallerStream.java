package org.lacewingstep.traffic;

import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;
import ratpack.exec.Promise;

/** Converts the chunks of one generation to server-sent events; used on the event loop of one execution. */
final class CallerStream {
    private final RequestIdentifier request;
    private final GenerationSession session;

    private boolean ended;

    /**
     * Creates a stream that starts with the first chunk of the generation.
     *
     * @param request the request's identifier, not null
     * @param session supplies the chunks of the generation, not null
     */
    CallerStream(final RequestIdentifier request, final GenerationSession session) {
        this.request = request;
        this.session = session;
    }

    /**
     * Returns the next event.
     *
     * @return the next event, null after the last event
     */
    Promise<CallerEvent> next() {
        if (ended) {
            return Promise.value(null);
        }
        return session.next().map(this::toEvent).mapError(this::errorEvent);
    }

    /** Ends the stream with an error event; the caller detects the failure by the missing end mark. */
    private CallerEvent errorEvent(final Throwable cause) {
        ended = true;
        final RequestFailure failure = ErrorResponse.toFailure(request, cause);
        return new CallerEvent(request.value(), ErrorResponse.body(request, failure));
    }

    private CallerEvent toEvent(final Optional<CompletionChunk> next) {
        if (next.isEmpty()) {
            ended = true;
            return new CallerEvent(request.value(), EngineFrame.END_MARK);
        }
        final CompletionChunk chunk = next.get();
        return new CallerEvent(
                request + "/" + chunk.tokens(), CompletionResponse.encode(request, chunk.text(), chunk.finishReason()));
    }
}
