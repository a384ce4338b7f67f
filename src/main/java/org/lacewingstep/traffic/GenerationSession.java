package org.lacewingstep.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.lacewingstep.blackboard.AttemptResult;
import org.lacewingstep.blackboard.AttemptResult.AttemptStep;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.traffic.PullSubscriber.Signal;
import org.lacewingstep.upstream.EngineClient;
import org.lacewingstep.upstream.EngineClient.GenerationInput;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.Promise;
import ratpack.stream.TransformablePublisher;

/** Executes the control thread's instructions for one generation; used on the event loop of one execution. */
final class GenerationSession {
    private static final Logger LOGGER = LoggerFactory.getLogger(GenerationSession.class);

    private final EngineClient engineClient;
    private final Consumer<Event> events;
    private final StringBuilder generatedText = new StringBuilder();
    private final InstructionInbox inbox;
    private final RequestIdentifier request;
    private final Function<UpstreamName, Optional<Upstream>> upstreams;
    private final GenerationInput input;

    private long attemptTokens;
    private boolean ended;
    private String finishReason = "";
    private Optional<CompletionChunk> bufferedChunk = Optional.empty();
    private Reservation reservation;
    private PullSubscriber<ratpack.sse.Event<?>> source;
    private long totalTokens;

    /**
     * Creates a session without an open stream.
     *
     * @param request the request's identifier, not null
     * @param input the model, the prompt and the number of tokens to generate, not null
     * @param inbox supplies the instructions for the request, not null
     * @param engineClient sends prefill and decode requests to upstreams, not null
     * @param upstreams finds an upstream by name, not null
     * @param events receives the events for the control thread, not null
     */
    GenerationSession(
            final RequestIdentifier request,
            final GenerationInput input,
            final InstructionInbox inbox,
            final EngineClient engineClient,
            final Function<UpstreamName, Optional<Upstream>> upstreams,
            final Consumer<Event> events) {
        this.request = request;
        this.input = input;
        this.inbox = inbox;
        this.engineClient = engineClient;
        this.upstreams = upstreams;
        this.events = events;
    }

    /** Ends the session after the caller has disconnected; does nothing if the generation has already ended. */
    void abandon() {
        if (!ended) {
            ended = true;
            closeSource();
            events.accept(new Event.CallerDisconnected(request, totalTokens));
        }
    }

    /**
     * Returns the next chunk of the generated text.
     *
     * @return the next chunk, empty after the last chunk; fails with a {@link RequestFailure} if the request is refused
     *     or fails
     */
    Promise<Optional<CompletionChunk>> next() {
        if (bufferedChunk.isPresent()) {
            final Optional<CompletionChunk> chunk = bufferedChunk;
            bufferedChunk = Optional.empty();
            return Promise.value(chunk);
        }
        if (ended) {
            return Promise.value(Optional.empty());
        }
        if (source == null) {
            return openStream().flatMap(opened -> next());
        }
        return source.next().flatMap(this::interpret);
    }

    /**
     * Waits for the first chunk and buffers it for {@link #next()}.
     *
     * @return whether a first chunk exists; fails with a {@link RequestFailure} if the request is refused or
     *     fails
     */
    Promise<Boolean> awaitFirstChunk() {
        return next().map(first -> {
            bufferedChunk = first;
            return first.isPresent();
        });
    }

    private Promise<Optional<CompletionChunk>> interpret(final Signal<ratpack.sse.Event<?>> signal) {
        return switch (signal) {
            case Signal.Item<ratpack.sse.Event<?>> item ->
                interpret(EngineFrame.of(item.value(), reservation.attempt(), attemptTokens));
            case Signal.Ended<ratpack.sse.Event<?>> end -> failStream("the stream ended without its end mark");
            case Signal.Broken<ratpack.sse.Event<?>> broken ->
                failStream(broken.failure().toString());
        };
    }

    private Promise<Optional<CompletionChunk>> interpret(final EngineFrame frame) {
        return switch (frame) {
            case EngineFrame.Text(String text) -> {
                attemptTokens++;
                totalTokens++;
                generatedText.append(text);
                yield Promise.value(Optional.of(new CompletionChunk(totalTokens, text, "")));
            }
            case EngineFrame.Finish(String reason) -> {
                finishReason = reason;
                yield next();
            }
            case EngineFrame.EndMark() ->
                finishReason.isEmpty() ? failStream("the end mark arrived before a finish reason") : complete();
            case EngineFrame.Skipped() -> next();
            case EngineFrame.Invalid(String reason) -> failStream(reason);
        };
    }

    private Promise<Optional<CompletionChunk>> complete() {
        ended = true;
        closeSource();
        events.accept(new Event.AttemptEnded(reservation.attempt(), new AttemptResult.Completed(totalTokens)));
        return Promise.value(Optional.of(new CompletionChunk(totalTokens, "", finishReason)));
    }

    private Promise<Optional<CompletionChunk>> failStream(final String reason) {
        closeSource();
        postFailure(AttemptStep.DECODE, reservation.target(), true, false, reason);
        return next();
    }

    private void closeSource() {
        if (source != null) {
            source.cancel();
            source = null;
        }
    }

    private void postFailure(
            final AttemptStep step,
            final UpstreamName upstream,
            final boolean sent,
            final boolean overloaded,
            final String reason) {
        LOGGER.atInfo()
                .addKeyValue("request", reservation.attempt())
                .addKeyValue("step", step)
                .addKeyValue("peer", upstream)
                .log("attempt failed: {}", reason);
        events.accept(new Event.AttemptEnded(
                reservation.attempt(), new AttemptResult.Failed(step, upstream, sent, totalTokens, overloaded)));
    }

    /** Executes instructions until a stream is open or the request ends. */
    private Promise<Boolean> openStream() {
        return inbox.next().flatMap(instruction -> switch (instruction) {
            case Instruction.Run(Reservation newReservation) -> startAttempt(newReservation);
            case Instruction.Resume(Reservation newReservation) -> resumeAttempt(newReservation);
            case Instruction.Refuse(var refusal) -> throw RequestFailure.notRun(refusal);
            case Instruction.Fail(ErrorCode code, String message) -> throw RequestFailure.mayHaveRun(code, message);
            case Instruction.Complete() -> {
                ended = true;
                yield Promise.value(true);
            }
        });
    }

    private Promise<Boolean> startAttempt(final Reservation newReservation) {
        reservation = newReservation;
        attemptTokens = 0;
        finishReason = "";
        final GenerationInput remainingInput =
                new GenerationInput(input.model(), input.prompt() + generatedText, input.outputTokens() - totalTokens);
        final AttemptIdentifier attempt = newReservation.attempt();
        return findUpstream(newReservation.prefill().orElseThrow())
                .flatMap(prefillUpstream -> engineClient.prefill(prefillUpstream, attempt, remainingInput))
                .map(Optional::of)
                .mapError(failure -> postExchangeFailure(
                        AttemptStep.PREFILL, newReservation.prefill().orElseThrow(), failure))
                .flatMap(transfer -> transfer.isEmpty()
                        ? openStream()
                        : subscribe(findUpstream(newReservation.target())
                                .flatMap(decodeUpstream ->
                                        engineClient.decode(decodeUpstream, attempt, remainingInput, transfer.get()))));
    }

    private Promise<Boolean> resumeAttempt(final Reservation newReservation) {
        reservation = newReservation;
        return subscribe(findUpstream(newReservation.target())
                .flatMap(decodeUpstream ->
                        engineClient.resume(decodeUpstream, newReservation.attempt(), attemptTokens)));
    }

    private Promise<Boolean> subscribe(final Promise<TransformablePublisher<ratpack.sse.Event<?>>> opening) {
        return opening.map(Optional::of)
                .mapError(failure -> postExchangeFailure(AttemptStep.DECODE, reservation.target(), failure))
                .flatMap(stream -> {
                    if (stream.isEmpty()) {
                        return openStream();
                    }
                    final PullSubscriber<ratpack.sse.Event<?>> subscriber = new PullSubscriber<>();
                    stream.get().subscribe(subscriber);
                    source = subscriber;
                    return Promise.value(true);
                });
    }

    private <T> Optional<T> postExchangeFailure(
            final AttemptStep step, final UpstreamName upstream, final Throwable failure) {
        postFailure(
                step,
                upstream,
                UpstreamFailures.mayHaveSent(failure),
                UpstreamFailures.isOverload(failure),
                failure.toString());
        return Optional.empty();
    }

    private Promise<Upstream> findUpstream(final UpstreamName name) {
        return upstreams
                .apply(name)
                .map(Promise::value)
                .orElseGet(() -> Promise.error(UpstreamFailures.unknownUpstream(name)));
    }
}
