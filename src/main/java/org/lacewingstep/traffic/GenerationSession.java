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
import org.lacewingstep.upstream.UpstreamClient;
import org.lacewingstep.upstream.UpstreamClient.GenerationWork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.Promise;
import ratpack.stream.TransformablePublisher;

/** Carries out the instructions for one generation; used on the event loop of one execution. */
final class GenerationSession {
    private static final Logger LOGGER = LoggerFactory.getLogger(GenerationSession.class);

    private final UpstreamClient client;
    private final Consumer<Event> events;
    private final StringBuilder generated = new StringBuilder();
    private final InstructionInbox inbox;
    private final RequestIdentifier request;
    private final Function<UpstreamName, Optional<Upstream>> upstreams;
    private final GenerationWork work;

    private long attemptTokens;
    private boolean ended;
    private String finishReason = "";
    private Optional<CompletionChunk> kept = Optional.empty();
    private Reservation reservation;
    private PullSubscriber<ratpack.sse.Event<?>> source;
    private long tokens;

    /**
     * Creates a session.
     *
     * @param request the request, not null
     * @param work what to generate, not null
     * @param inbox the instructions, not null
     * @param client the upstreams' client, not null
     * @param upstreams finds upstreams by name, not null
     * @param events receives what happens, not null
     */
    GenerationSession(
            final RequestIdentifier request,
            final GenerationWork work,
            final InstructionInbox inbox,
            final UpstreamClient client,
            final Function<UpstreamName, Optional<Upstream>> upstreams,
            final Consumer<Event> events) {
        this.request = request;
        this.work = work;
        this.inbox = inbox;
        this.client = client;
        this.upstreams = upstreams;
        this.events = events;
    }

    /** Ends the session because the caller has gone; does nothing after the end of the answer. */
    void abandon() {
        if (!ended) {
            ended = true;
            closeSource();
            events.accept(new Event.CallerLeft(request, tokens));
        }
    }

    /**
     * Gets the next part of the answer.
     *
     * @return the part, empty after the last one; fails with a {@link RequestFailure} if there is no answer
     */
    Promise<Optional<CompletionChunk>> next() {
        if (kept.isPresent()) {
            final Optional<CompletionChunk> first = kept;
            kept = Optional.empty();
            return Promise.value(first);
        }
        if (ended) {
            return Promise.value(Optional.empty());
        }
        if (source == null) {
            return open().flatMap(opened -> next());
        }
        return source.next().flatMap(this::interpret);
    }

    /**
     * Waits until the answer has begun; its first part stays with {@link #next()}.
     *
     * @return whether there is a first part; fails with a {@link RequestFailure} if there is no answer
     */
    Promise<Boolean> begin() {
        return next().map(first -> {
            kept = first;
            return first.isPresent();
        });
    }

    private Promise<Optional<CompletionChunk>> interpret(final Signal<ratpack.sse.Event<?>> signal) {
        return switch (signal) {
            case Signal.Item<ratpack.sse.Event<?>> item ->
                interpret(EngineFrame.of(item.value(), reservation.attempt(), attemptTokens));
            case Signal.Ended<ratpack.sse.Event<?>> end -> broken("the stream ended without its end mark");
            case Signal.Broken<ratpack.sse.Event<?>> broken ->
                broken(broken.failure().toString());
        };
    }

    private Promise<Optional<CompletionChunk>> interpret(final EngineFrame frame) {
        return switch (frame) {
            case EngineFrame.Text(String text) -> {
                attemptTokens++;
                tokens++;
                generated.append(text);
                yield Promise.value(Optional.of(new CompletionChunk(tokens, text, "")));
            }
            case EngineFrame.Finish(String reason) -> {
                finishReason = reason;
                yield next();
            }
            case EngineFrame.EndMark() -> finishReason.isEmpty() ? broken("the end mark came too early") : complete();
            case EngineFrame.Skipped() -> next();
            case EngineFrame.Invalid(String reason) -> broken(reason);
        };
    }

    private Promise<Optional<CompletionChunk>> complete() {
        ended = true;
        closeSource();
        events.accept(new Event.AttemptEnded(reservation.attempt(), new AttemptResult.Completed(tokens)));
        return Promise.value(Optional.of(new CompletionChunk(tokens, "", finishReason)));
    }

    private Promise<Optional<CompletionChunk>> broken(final String reason) {
        closeSource();
        fail(AttemptStep.DECODE, reservation.target(), true, false, reason);
        return next();
    }

    private void closeSource() {
        if (source != null) {
            source.cancel();
            source = null;
        }
    }

    private void fail(
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
                reservation.attempt(), new AttemptResult.Failed(step, upstream, sent, tokens, overloaded)));
    }

    /** Carries out instructions until a stream is open. */
    private Promise<Boolean> open() {
        return inbox.next().flatMap(instruction -> switch (instruction) {
            case Instruction.Run(Reservation room) -> run(room);
            case Instruction.Resume(Reservation room) -> resume(room);
            case Instruction.Refuse(var refusal) -> throw RequestFailure.notRun(refusal);
            case Instruction.Fail(ErrorCode code, String message) -> throw RequestFailure.mayHaveRun(code, message);
            case Instruction.Conclude() -> {
                ended = true;
                yield Promise.value(true);
            }
        });
    }

    private Promise<Boolean> run(final Reservation room) {
        reservation = room;
        attemptTokens = 0;
        finishReason = "";
        final GenerationWork rest =
                new GenerationWork(work.model(), work.prompt() + generated, work.outputTokens() - tokens);
        final AttemptIdentifier attempt = room.attempt();
        return find(room.prefill().orElseThrow())
                .flatMap(prefill -> client.prefill(prefill, attempt, rest))
                .map(Optional::of)
                .mapError(failure -> failed(AttemptStep.PREFILL, room.prefill().orElseThrow(), failure))
                .flatMap(transfer -> transfer.isEmpty()
                        ? open()
                        : attach(find(room.target())
                                .flatMap(decode -> client.decode(decode, attempt, rest, transfer.get()))));
    }

    private Promise<Boolean> resume(final Reservation room) {
        reservation = room;
        return attach(find(room.target()).flatMap(decode -> client.resume(decode, room.attempt(), attemptTokens)));
    }

    private Promise<Boolean> attach(final Promise<TransformablePublisher<ratpack.sse.Event<?>>> opening) {
        return opening.map(Optional::of)
                .mapError(failure -> failed(AttemptStep.DECODE, reservation.target(), failure))
                .flatMap(stream -> {
                    if (stream.isEmpty()) {
                        return open();
                    }
                    final PullSubscriber<ratpack.sse.Event<?>> opened = new PullSubscriber<>();
                    stream.get().subscribe(opened);
                    source = opened;
                    return Promise.value(true);
                });
    }

    private <T> Optional<T> failed(final AttemptStep step, final UpstreamName upstream, final Throwable failure) {
        fail(step, upstream, CallFailure.mayHaveSent(failure), CallFailure.isOverload(failure), failure.toString());
        return Optional.empty();
    }

    private Promise<Upstream> find(final UpstreamName name) {
        return upstreams
                .apply(name)
                .map(Promise::value)
                .orElseGet(() -> Promise.error(CallFailure.unknownUpstream(name)));
    }
}
