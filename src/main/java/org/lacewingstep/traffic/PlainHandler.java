package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.lacewingstep.blackboard.AttemptResult;
import org.lacewingstep.blackboard.AttemptResult.AttemptStep;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.upstream.ExchangeRequest;
import org.lacewingstep.upstream.UpstreamPool;
import org.lacewingstep.upstream.UpstreamPools;
import org.lacewingstep.upstream.WholeAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.TypedData;

/** Passes calls on to plain services; the caller's key and the headers of the connection stay behind. */
public final class PlainHandler implements Handler {
    private static final Set<String> DROPPED_HEADERS = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-request-id");
    private static final Logger LOGGER = LoggerFactory.getLogger(PlainHandler.class);

    private final RequestDesk desk;
    private final TrafficLimits limits;
    private final UpstreamPools pools;
    private final Duration silenceLimit;

    /**
     * Creates a handler.
     *
     * @param desk opens requests, not null
     * @param pools the connections to upstreams, not null
     * @param limits the limits of what callers send, not null
     * @param silenceLimit how long a service may send nothing, not null
     */
    public PlainHandler(
            final RequestDesk desk,
            final UpstreamPools pools,
            final TrafficLimits limits,
            final Duration silenceLimit) {
        this.desk = desk;
        this.pools = pools;
        this.limits = limits;
        this.silenceLimit = silenceLimit;
    }

    @Override
    public void handle(final Context context) {
        final RequestIdentifier request = desk.nextIdentifier();
        CallerBody.read(context, limits, request).then(body -> answer(context, request, body));
    }

    private void answer(final Context context, final RequestIdentifier request, final TypedData body) {
        final String path = "/" + context.getRequest().getPath();
        final InstructionInbox inbox = desk.open(context, request, new ServiceSelector.ByPath(path), 0, 0);
        final Call call = new Call(context, request, inbox, body);
        desk.onDisconnect(context, () -> desk.events().accept(new Event.CallerLeft(request, 0)));
        context.onClose(outcome -> desk.close(request));
        run(call)
                .onError(failure -> ErrorAnswer.send(context, request, failure))
                .then(answer -> relay(context, request, answer));
    }

    private Promise<WholeAnswer> run(final Call call) {
        return call.inbox().next().flatMap(instruction -> switch (instruction) {
            case Instruction.Run(Reservation room) -> attempt(call, room);
            case Instruction.Resume(Reservation room) -> attempt(call, room);
            case Instruction.Refuse(var refusal) -> throw RequestFailure.notRun(refusal);
            case Instruction.Fail(ErrorCode code, String message) -> throw RequestFailure.mayHaveRun(code, message);
            case Instruction.Conclude() ->
                throw RequestFailure.mayHaveRun(ErrorCode.CALLER_STALLED, "the caller has gone");
        });
    }

    private Promise<WholeAnswer> attempt(final Call call, final Reservation room) {
        return desk.upstreams()
                .apply(room.target())
                .map(upstream -> send(call, room, upstream))
                .orElseGet(() -> Promise.error(CallFailure.unknownUpstream(room.target())))
                .wiretap(result -> {
                    if (result.isSuccess()) {
                        end(room, new AttemptResult.Completed(0));
                    }
                })
                .flatMapError(failure -> {
                    end(room, failed(room, failure));
                    return run(call);
                });
    }

    private Promise<WholeAnswer> send(final Call call, final Reservation room, final Upstream upstream) {
        final var request = call.context().getRequest();
        final HttpHeaders headers = new DefaultHttpHeaders();
        request.getHeaders().getNames().stream()
                .filter(name -> !DROPPED_HEADERS.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(name -> headers.set(name, request.getHeaders().getAll(name)));
        headers.set(HttpHeaderNames.HOST, upstream.address().toString());
        headers.set(ErrorAnswer.REQUEST_HEADER, room.attempt().toString());
        // A connection of its own, as one kept open may have been dropped, and the call may not be repeated.
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        final UpstreamPool pool =
                pools.of(call.context().getDirectChannelAccess().getChannel().eventLoop());
        return WholeAnswer.of(
                pool,
                new ExchangeRequest(
                        upstream.address(),
                        HttpMethod.valueOf(request.getMethod().getName()),
                        request.getRawUri(),
                        headers,
                        call.body().getBytes(),
                        answer -> true,
                        silenceLimit,
                        silenceLimit,
                        Integer.MAX_VALUE));
    }

    private static AttemptResult failed(final Reservation room, final Throwable failure) {
        LOGGER.atInfo()
                .addKeyValue("request", room.attempt())
                .addKeyValue("step", AttemptStep.PLAIN_CALL)
                .addKeyValue("peer", room.target())
                .log("attempt failed: {}", failure.toString());
        final boolean sent = CallFailure.mayHaveSent(failure);
        return new AttemptResult.Failed(AttemptStep.PLAIN_CALL, room.target(), sent, 0, false);
    }

    private void end(final Reservation room, final AttemptResult result) {
        desk.events().accept(new Event.AttemptEnded(room.attempt(), result));
    }

    private static void relay(final Context context, final RequestIdentifier request, final WholeAnswer answer) {
        final HttpHeaders headers = answer.head().headers();
        headers.names().stream()
                .filter(name -> !DROPPED_HEADERS.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(name -> context.getResponse().getHeaders().set(name, headers.getAll(name)));
        context.getResponse().getHeaders().set(ErrorAnswer.REQUEST_HEADER, request.value());
        context.getResponse().status(answer.head().status().code());
        context.getResponse().send(answer.body());
    }

    /**
     * A call under way.
     *
     * @param context the caller's context, not null
     * @param request the request, not null
     * @param inbox the instructions, not null
     * @param body the caller's body, not null
     */
    private record Call(Context context, RequestIdentifier request, InstructionInbox inbox, TypedData body) {}
}
