package org.lacewingstep.traffic;

import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;
import ratpack.exec.Promise;

/** The frames of one streamed answer; used on the event loop of one execution. */
final class CallerStream {
    private final RequestIdentifier request;
    private final GenerationSession session;

    private boolean ended;

    /**
     * Creates a stream.
     *
     * @param request the request, not null
     * @param session the session, not null
     */
    CallerStream(final RequestIdentifier request, final GenerationSession session) {
        this.request = request;
        this.session = session;
    }

    /**
     * Gets the next frame.
     *
     * @return the frame, null after the last one
     */
    Promise<CallerFrame> next() {
        if (ended) {
            return Promise.value(null);
        }
        return session.next().map(this::frame).mapError(this::broken);
    }

    /** The stream ends without its end mark, so that the caller can tell. */
    private CallerFrame broken(final Throwable cause) {
        ended = true;
        final RequestFailure failure = ErrorAnswer.toFailure(request, cause);
        return new CallerFrame(request.value(), ErrorAnswer.body(request, failure));
    }

    private CallerFrame frame(final Optional<CompletionChunk> part) {
        if (part.isEmpty()) {
            ended = true;
            return new CallerFrame(request.value(), EngineFrame.END_MARK);
        }
        final CompletionChunk chunk = part.get();
        return new CallerFrame(
                request + "/" + chunk.tokens(), CompletionAnswer.json(request, chunk.text(), chunk.finishReason()));
    }
}
