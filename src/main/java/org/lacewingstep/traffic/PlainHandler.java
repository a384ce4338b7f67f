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
import org.lacewingstep.upstream.CompleteResponse;
import org.lacewingstep.upstream.ExchangeRequest;
import org.lacewingstep.upstream.ResponseForm;
import org.lacewingstep.upstream.UpstreamPool;
import org.lacewingstep.upstream.UpstreamPools;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.TypedData;

/** Proxies requests to plain services without the caller's key and the headers of the connection. */
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

    private final OpenRequests openRequests;
    private final TrafficLimits limits;
    private final UpstreamPools pools;
    private final Duration readTimeout;

    /**
     * Creates a handler for requests to plain services.
     *
     * @param openRequests registers open requests, not null
     * @param pools the connection pools for upstreams, one for each event loop, not null
     * @param limits the limits of callers' requests, not null
     * @param readTimeout the timeout without data from a service, not null
     */
    public PlainHandler(
            final OpenRequests openRequests,
            final UpstreamPools pools,
            final TrafficLimits limits,
            final Duration readTimeout) {
        this.openRequests = openRequests;
        this.pools = pools;
        this.limits = limits;
        this.readTimeout = readTimeout;
    }

    @Override
    public void handle(final Context context) {
        final RequestIdentifier request = openRequests.nextIdentifier();
        CallerBody.read(context, limits, request).then(body -> startRequest(context, request, body));
    }

    private void startRequest(final Context context, final RequestIdentifier request, final TypedData body) {
        final String path = "/" + context.getRequest().getPath();
        final InstructionInbox inbox = openRequests.open(context, request, new ServiceSelector.ByPath(path), 0, 0);
        final ActiveRequest activeRequest = new ActiveRequest(context, request, inbox, body);
        openRequests.onDisconnect(
                context, () -> openRequests.events().accept(new Event.CallerDisconnected(request, 0)));
        context.onClose(outcome -> openRequests.close(request));
        executeNext(activeRequest)
                .onError(failure -> ErrorResponse.send(context, request, failure))
                .then(response -> sendResponse(context, request, response));
    }

    private Promise<CompleteResponse> executeNext(final ActiveRequest activeRequest) {
        return activeRequest.inbox().next().flatMap(instruction -> switch (instruction) {
            case Instruction.Run(Reservation reservation) -> attempt(activeRequest, reservation);
            case Instruction.Resume(Reservation reservation) -> attempt(activeRequest, reservation);
            case Instruction.Refuse(var refusal) -> throw RequestFailure.notRun(refusal);
            case Instruction.Fail(ErrorCode code, String message) -> throw RequestFailure.mayHaveRun(code, message);
            case Instruction.Complete() ->
                throw RequestFailure.mayHaveRun(ErrorCode.CALLER_STALLED, "the caller has gone");
        });
    }

    private Promise<CompleteResponse> attempt(final ActiveRequest activeRequest, final Reservation reservation) {
        return openRequests
                .upstreams()
                .apply(reservation.target())
                .map(upstream -> send(activeRequest, reservation, upstream))
                .orElseGet(() -> Promise.error(UpstreamFailures.unknownUpstream(reservation.target())))
                .wiretap(result -> {
                    if (result.isSuccess()) {
                        postAttemptEnd(reservation, new AttemptResult.Completed(0));
                    }
                })
                .flatMapError(failure -> {
                    postAttemptEnd(reservation, toFailedResult(reservation, failure));
                    return executeNext(activeRequest);
                });
    }

    private Promise<CompleteResponse> send(
            final ActiveRequest activeRequest, final Reservation reservation, final Upstream upstream) {
        final var request = activeRequest.context().getRequest();
        final HttpHeaders headers = new DefaultHttpHeaders();
        request.getHeaders().getNames().stream()
                .filter(name -> !DROPPED_HEADERS.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(name -> headers.set(name, request.getHeaders().getAll(name)));
        headers.set(HttpHeaderNames.HOST, upstream.address().toString());
        headers.set(ErrorResponse.REQUEST_HEADER, reservation.attempt().toString());
        // Uses a new connection, because the service may have dropped a kept-alive connection and the request must not
        // be repeated.
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        final UpstreamPool pool = pools.poolFor(
                activeRequest.context().getDirectChannelAccess().getChannel().eventLoop());
        return CompleteResponse.fetch(
                pool,
                new ExchangeRequest(
                        upstream.address(),
                        HttpMethod.valueOf(request.getMethod().getName()),
                        request.getRawUri(),
                        headers,
                        activeRequest.body().getBytes(),
                        response -> true,
                        new ResponseForm.Collected(),
                        readTimeout,
                        readTimeout,
                        Integer.MAX_VALUE));
    }

    private static AttemptResult toFailedResult(final Reservation reservation, final Throwable failure) {
        LOGGER.atInfo()
                .addKeyValue("request", reservation.attempt())
                .addKeyValue("step", AttemptStep.PLAIN_CALL)
                .addKeyValue("peer", reservation.target())
                .log("attempt failed: {}", failure.toString());
        final boolean sent = UpstreamFailures.mayHaveSent(failure);
        return new AttemptResult.Failed(AttemptStep.PLAIN_CALL, reservation.target(), sent, 0, false);
    }

    private void postAttemptEnd(final Reservation reservation, final AttemptResult result) {
        openRequests.events().accept(new Event.AttemptEnded(reservation.attempt(), result));
    }

    private static void sendResponse(
            final Context context, final RequestIdentifier request, final CompleteResponse response) {
        final HttpHeaders headers = response.head().headers();
        headers.names().stream()
                .filter(name -> !DROPPED_HEADERS.contains(name.toLowerCase(Locale.ROOT)))
                .forEach(name -> context.getResponse().getHeaders().set(name, headers.getAll(name)));
        context.getResponse().getHeaders().set(ErrorResponse.REQUEST_HEADER, request.value());
        context.getResponse().status(response.head().status().code());
        context.getResponse().send(response.body());
    }

    /**
     * The state of one request while its attempts run.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param request the request's identifier, not null
     * @param inbox supplies the instructions for the request, not null
     * @param body the request's body, not null
     */
    private record ActiveRequest(Context context, RequestIdentifier request, InstructionInbox inbox, TypedData body) {}
}
