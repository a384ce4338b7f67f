package org.lacewingstep.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.traffic.CallProtocol.KvCacheReference;
import org.lacewingstep.traffic.CallProtocol.ResponseKind;
import org.lacewingstep.upstream.CompleteResponse;
import org.lacewingstep.upstream.ExchangeEvent;
import org.lacewingstep.upstream.ResponseCollector;
import org.lacewingstep.upstream.UpstreamExchange;
import org.lacewingstep.upstream.UpstreamPool;
import ratpack.exec.Downstream;

/**
 * Executes the control thread's instructions for one call and posts the results as events. All state is confined to the
 * event loop of the caller's connection.
 */
final class CallSession {
    /** Longest event of a stream, in bytes, of which a part is kept until the rest arrives. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final int HTTP_OK = 200;

    private final OpenCalls openCalls;
    private final Channel channel;
    private final UpstreamPool pool;
    private final CallerRequest callerRequest;
    private final Instant receivedAt;
    private final EventRelay relay;
    private final EngineReservation reservation;
    private final RequestIdentifier request;
    private final ExchangeRequests requests;
    private final AttemptTimer timer;
    private final ExchangeLog log;

    private Downstream<? super CallResponse> responseReceiver;
    private boolean ended;
    private UpstreamExchange exchange;
    private CallResponse.Complete upstreamError;
    private HttpResponse responseHead;
    private Optional<KvCacheReference> prefillReference = Optional.empty();
    private Send currentAttempt;
    private ResponseStream stream;
    private ByteArrayOutputStream responseBody;

    /**
     * Creates a session for a call that has not been posted to the control thread yet.
     *
     * @param openCalls the registry of open calls, not null
     * @param request the request's identifier, not null
     * @param callerRequest the request that was read from the caller, not null
     * @param channel the caller's connection, not null
     * @param pool the upstream connections of the event loop of {@code channel}, not null
     */
    CallSession(
            final OpenCalls openCalls,
            final RequestIdentifier request,
            final CallerRequest callerRequest,
            final Channel channel,
            final UpstreamPool pool) {
        this.openCalls = openCalls;
        this.request = request;
        this.callerRequest = callerRequest;
        this.channel = channel;
        this.pool = pool;
        this.receivedAt = openCalls.now();
        this.requests = new ExchangeRequests(openCalls, callerRequest);
        this.timer = new AttemptTimer(openCalls, request);
        this.log = new ExchangeLog(request);
        this.reservation = new EngineReservation(openCalls, pool, request);
        this.relay = new EventRelay(openCalls.protocol().lastReceivedEvent(callerRequest));
    }

    /** Ends the call after the caller has disconnected; does nothing if the call has already ended. */
    void abandon() {
        if (ended) {
            return;
        }
        openCalls.post(new Event.CallAbandoned(request));
        end(0);
    }

    /**
     * Executes an instruction of the control thread on the event loop of the caller's connection.
     *
     * @param instruction the instruction, not null
     */
    void deliver(final CallInstruction instruction) {
        channel.eventLoop().execute(() -> execute(instruction));
    }

    /**
     * Returns the request's identifier.
     *
     * @return the identifier, never null
     */
    RequestIdentifier request() {
        return request;
    }

    /**
     * Posts the arrival of the call to the control thread, which replies with instructions.
     *
     * @param receiver receives the response to the caller, not null
     */
    void start(final Downstream<? super CallResponse> receiver) {
        responseReceiver = receiver;
        openCalls.post(new Event.CallArrived(openCalls.protocol().decodeRequest(request, callerRequest, receivedAt)));
    }

    /** Refuses the call without posting it to the control thread; the receiver gets the response. */
    void refuse(final Downstream<? super CallResponse> receiver, final Refusal refusal) {
        responseReceiver = receiver;
        respondWithError(RequestFailure.notRun(refusal));
    }

    private void execute(final CallInstruction instruction) {
        if (ended) {
            return;
        }
        switch (instruction) {
            case Reserve reserve -> reservation.reserve(reserve);
            case Send send -> send(send);
            case CallInstruction.ForwardFailure() -> respond(upstreamError);
            case CallInstruction.Refuse(Refusal refusal) -> respondWithError(RequestFailure.notRun(refusal));
            case CallInstruction.Fail(ErrorCode code, String message) ->
                respondWithError(RequestFailure.mayHaveRun(code, message));
        }
    }

    private void send(final Send instruction) {
        currentAttempt = instruction;
        if (exchange != null && exchange.isProgressing()) {
            // The upstream has continued after the stall that this instruction answers.
            reservation.release();
            return;
        }
        if (exchange != null) {
            exchange.cancelStalled();
        }
        if (instruction.prefill().isPresent()) {
            sendPrefill(instruction, instruction.prefill().get());
        } else {
            sendForResponse(instruction, instruction.usesKeptPrompt() ? prefillReference : Optional.empty());
        }
    }

    private void sendPrefill(final Send instruction, final RegisteredUpstream upstream) {
        if (!openCalls.acceptsRequests(upstream)) {
            continueWithoutPrefill(instruction, new CallResult.NotRun(true));
            return;
        }
        timer.start();
        exchange = pool.send(
                requests.prefill(instruction, upstream.address()),
                new ResponseCollector(
                        response -> handlePrefillResponse(instruction, upstream, response),
                        failed -> {
                            recordFailure(upstream, failed);
                            continueWithoutPrefill(instruction, toResult(failed));
                        },
                        () -> postStall(upstream, false)));
    }

    private void handlePrefillResponse(
            final Send instruction, final RegisteredUpstream upstream, final CompleteResponse response) {
        openCalls.postNotice(request, upstream, response.head());
        final int status = response.head().status().code();
        if (status != HTTP_OK) {
            final boolean notRun = openCalls.protocol().classify(response.head()) instanceof ResponseKind.NotRun;
            continueWithoutPrefill(
                    instruction, notRun ? new CallResult.NotRun(true) : new CallResult.FailedByUpstream(status));
            return;
        }
        final Optional<KvCacheReference> kvCacheReference =
                openCalls.protocol().decodePrefillResponse(upstream.address(), response.body());
        prefillReference = kvCacheReference;
        kvCacheReference.ifPresent(reference -> timer.postPrompt(upstream));
        log.promptProcessed(instruction.upstream(), timer.elapsed());
        openCalls.post(new Event.PrefillEnded(
                request,
                instruction.attempt(),
                kvCacheReference.isPresent() ? new CallResult.Served() : new CallResult.Broken(false, false)));
        sendForResponse(instruction, kvCacheReference);
    }

    private void continueWithoutPrefill(final Send instruction, final CallResult result) {
        openCalls.post(new Event.PrefillEnded(request, instruction.attempt(), result));
        sendForResponse(instruction, Optional.empty());
    }

    private void sendForResponse(final Send instruction, final Optional<KvCacheReference> kvCacheReference) {
        responseHead = null;
        upstreamError = null;
        timer.start();
        responseBody = new ByteArrayOutputStream();
        relay.discardPartialEvent();
        if (!openCalls.acceptsRequests(instruction.upstream())) {
            log.notSent(instruction.upstream());
            postAttemptEnd(new CallResult.NotRun(false));
            return;
        }
        exchange = pool.send(
                requests.response(instruction, kvCacheReference, reservation.handOver(), relay.lastIdentifier()),
                event -> handleExchangeEvent(instruction, event));
    }

    private void handleExchangeEvent(final Send instruction, final ExchangeEvent event) {
        switch (event) {
            case ExchangeEvent.Head(HttpResponse response) -> handleHead(instruction, response);
            case ExchangeEvent.Body(ByteBuf content) -> handleBody(instruction, content);
            case ExchangeEvent.Stalled(Duration silence) ->
                postStall(instruction.upstream(), silence.compareTo(stallLimit(instruction)) >= 0);
            case ExchangeEvent.Complete() -> complete();
            case ExchangeEvent.Failed failed -> {
                recordFailure(instruction.upstream(), failed);
                postAttemptEnd(toResult(failed));
            }
        }
    }

    private Duration stallLimit(final Send instruction) {
        return stream == null ? instruction.responseTimeout() : instruction.pauseTimeout();
    }

    private void postStall(final RegisteredUpstream upstream, final boolean replaceable) {
        final Optional<AttemptIdentifier> attempt =
                replaceable ? Optional.of(new AttemptIdentifier(request, currentAttempt.attempt())) : Optional.empty();
        openCalls.post(new Event.UpstreamStalled(upstream.name(), attempt));
    }

    private void handleHead(final Send instruction, final HttpResponse response) {
        responseHead = response;
        if (openCalls.protocol().classify(response) instanceof ResponseKind.Unusable(String reason)) {
            breakAttempt(instruction, reason);
        } else {
            openCalls.postNotice(request, instruction.upstream(), response);
        }
    }

    private void breakAttempt(final Send instruction, final String reason) {
        recordFailure(instruction.upstream(), new ExchangeEvent.Failed(true, false, reason));
        exchange.cancel();
        postAttemptEnd(broken(false));
    }

    private CallResult.Broken broken(final boolean silent) {
        return new CallResult.Broken(silent, stream != null, timer.progress());
    }

    private void handleBody(final Send instruction, final ByteBuf content) {
        if (isStreamed()) {
            relay.append(content).ifPresent(this::forward);
            if (relay.isOutOfSequence()) {
                breakAttempt(instruction, "an event does not follow the last one");
            } else if (relay.partialEventBytes() > MAX_EVENT_BYTES) {
                breakAttempt(instruction, "an event is too long");
            }
        } else {
            responseBody.writeBytes(ByteBufUtil.getBytes(content));
            content.release();
        }
    }

    private boolean isStreamed() {
        return currentAttempt.streams()
                && isSuccess()
                && openCalls.protocol().classify(responseHead) instanceof ResponseKind.Genuine;
    }

    private boolean isSuccess() {
        return responseHead.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private void forward(final ByteBuf events) {
        exchange.restartTimeouts();
        final boolean first = timer.progress().isEmpty();
        final Instant arrivedAt = timer.recordEvents(relay.events());
        if (first && currentAttempt.prefill().isEmpty() && !currentAttempt.usesKeptPrompt()) {
            timer.postPrompt(currentAttempt.upstream());
        }
        if (stream == null) {
            stream = new ResponseStream(autoRead -> exchange.setAutoRead(autoRead), this::abandon, channel::close);
            openCalls.metrics().recordFirstEvent(Duration.between(receivedAt, arrivedAt));
            responseReceiver.success(new CallResponse.Streamed(
                    responseHead.status().code(), openCalls.protocol().forwardedHeaders(responseHead), stream));
        }
        stream.offer(events);
    }

    private void complete() {
        if (openCalls.protocol().classify(responseHead) instanceof ResponseKind.NotRun) {
            postAttemptEnd(new CallResult.NotRun(true));
        } else if (isStreamed()) {
            completeStream();
        } else {
            final CallResponse.Complete response = new CallResponse.Complete(
                    responseHead.status().code(),
                    openCalls.protocol().forwardedHeaders(responseHead),
                    responseBody.toByteArray());
            if (isSuccess()) {
                timer.postCall(currentAttempt.upstream());
                postAttemptEnd(new CallResult.Served());
                respond(response);
            } else {
                upstreamError = response;
                postAttemptEnd(new CallResult.FailedByUpstream(response.status()));
            }
        }
    }

    private void completeStream() {
        if (relay.hasPartialEvent() || stream == null || endedBeforeFirstEvent()) {
            postAttemptEnd(broken(false));
            return;
        }
        timer.postStream(currentAttempt.upstream());
        postAttemptEnd(new CallResult.Served());
        end(responseHead.status().code());
        stream.complete();
    }

    /** Returns whether a response without a length ended before its first event, as one that broke off does too. */
    private boolean endedBeforeFirstEvent() {
        return timer.progress().isEmpty()
                && !HttpUtil.isContentLengthSet(responseHead)
                && !HttpUtil.isTransferEncodingChunked(responseHead);
    }

    private void postAttemptEnd(final CallResult result) {
        openCalls.post(new Event.CallAttemptEnded(request, currentAttempt.attempt(), result));
    }

    private void respond(final CallResponse.Complete response) {
        if (ended) {
            return;
        }
        end(response.status());
        if (stream != null) {
            stream.abort();
        } else {
            responseReceiver.success(response);
        }
    }

    private void respondWithError(final RequestFailure failure) {
        final HttpHeaders headers = openCalls.protocol().routerHeaders(callerRequest, failure.retryAfter());
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        final byte[] body = ErrorResponse.body(request, failure).getBytes(StandardCharsets.UTF_8);
        respond(new CallResponse.Complete(ErrorResponse.status(failure.code()), headers, body));
    }

    private CallResult toResult(final ExchangeEvent.Failed failed) {
        return failed.sent() ? broken(failed.timedOut()) : new CallResult.NotRun(false);
    }

    private void recordFailure(final RegisteredUpstream upstream, final ExchangeEvent.Failed failed) {
        openCalls.metrics().countUpstreamFailure();
        log.failed(upstream, failed);
    }

    private void end(final int status) {
        ended = true;
        reservation.release();
        if (exchange != null) {
            exchange.cancel();
        }
        openCalls.close(request, status, Duration.between(receivedAt, openCalls.now()));
    }
}
