package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.function.IntSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.upstream.BufferBudget;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;
import ratpack.http.RequestBodyTooLargeException;
import ratpack.http.Response;
import ratpack.http.Status;
import ratpack.http.TypedData;

/** Reads calls from callers and writes the responses. */
public final class CallHandler implements Handler {
    /** Retry delay sent to a caller whose body finds no room; about the time to pass on a large body. */
    private static final Duration NO_ROOM_RETRY_AFTER = Duration.ofSeconds(1);

    private static final int TOO_LARGE = 413;

    private final BufferBudget budget;
    private final IntSupplier maxBodyBytes;
    private final OpenCalls openCalls;
    private final SlowCallers slowCallers;

    /**
     * Creates a handler for all calls of this instance.
     *
     * @param openCalls registers open calls, not null
     * @param maxBodyBytes supplies the largest accepted request body in bytes, not null
     * @param budget the budget of all bodies in the process, not null
     */
    public CallHandler(final OpenCalls openCalls, final IntSupplier maxBodyBytes, final BufferBudget budget) {
        this.openCalls = openCalls;
        this.budget = budget;
        this.slowCallers = new SlowCallers(openCalls, budget);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handle(final Context context) {
        final Request request = context.getRequest();
        final int largest = maxBodyBytes.getAsInt();
        final long stated = request.getContentLength();
        final BodyBuffer buffer = openBuffer(context);
        if (stated > largest || isSmall(request)) {
            request.getBody(largest).then(body -> startSmallCall(context, buffer, body));
        } else if (!buffer.reserve((int) Math.max(0, stated))) {
            refuseForRoom(context).then(refusal -> UnreadBody.answer(context, refusal, largest));
        } else {
            slowCallers.watchBody(context.getDirectChannelAccess().getChannel(), buffer);
            request.getBodyStream(largest)
                    .reduce(buffer, BodyBuffer::append)
                    .onError(RequestBodyTooLargeException.class, tooLarge -> context.clientError(TOO_LARGE))
                    .then(body -> {
                        body.complete();
                        if (body.isOverflown()) {
                            refuseForRoom(context).then(refusal -> writeResponse(context, refusal));
                        } else {
                            startCall(context, body.toBytes());
                        }
                    });
        }
    }

    /** Creates a buffer that is closed when the call is answered or its connection is closed. */
    private BodyBuffer openBuffer(final Context context) {
        final BodyBuffer buffer = new BodyBuffer(budget);
        final Channel channel = context.getDirectChannelAccess().getChannel();
        final ChannelFutureListener closeListener = closed -> buffer.close();
        channel.closeFuture().addListener(closeListener);
        context.onClose(outcome -> {
            channel.closeFuture().removeListener(closeListener);
            buffer.close();
        });
        return buffer;
    }

    private static boolean isSmall(final Request request) {
        return request.getContentLength() <= BufferBudget.SMALL_BYTES
                && !request.getHeaders().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private void startSmallCall(final Context context, final BodyBuffer buffer, final TypedData body) {
        if (buffer.reserve(body.getBuffer().readableBytes())) {
            startCall(context, body.getBytes());
        } else {
            refuseForRoom(context).then(refusal -> writeResponse(context, refusal));
        }
    }

    /** Refuses a call whose body exceeds the bound of all bodies. */
    private Promise<CallResponse> refuseForRoom(final Context context) {
        openCalls.metrics().countBodyRefusal();
        final CallSession session = openCalls.open(
                callerRequest(context, new byte[0]),
                context.getDirectChannelAccess().getChannel());
        return Promise.async(receiver -> session.refuse(
                receiver, new Refusal(ErrorCode.NO_CAPACITY, "no memory is free for the body", NO_ROOM_RETRY_AFTER)));
    }

    private static CallerRequest callerRequest(final Context context, final byte[] body) {
        return new CallerRequest(
                HttpMethod.valueOf(context.getRequest().getMethod().getName()),
                context.getRequest().getRawUri(),
                context.getRequest().getHeaders().getNettyHeaders(),
                body);
    }

    private void startCall(final Context context, final byte[] body) {
        final Channel channel = context.getDirectChannelAccess().getChannel();
        final CallSession session = openCalls.open(callerRequest(context, body), channel);
        final ChannelFutureListener disconnectListener = closed -> session.abandon();
        channel.closeFuture().addListener(disconnectListener);
        context.onClose(outcome -> channel.closeFuture().removeListener(disconnectListener));
        Promise.<CallResponse>async(session::start).then(callResponse -> writeResponse(context, callResponse));
    }

    private void writeResponse(final Context context, final CallResponse callResponse) {
        final Response response = context.getResponse();
        if (openCalls.closesConnections()) {
            response.getHeaders().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        switch (callResponse) {
            case CallResponse.Complete(int status, HttpHeaders headers, byte[] body) -> {
                writeHead(response, status, headers);
                slowCallers.watchResponse(context, body.length);
                response.send(body);
            }
            case CallResponse.Streamed(int status, HttpHeaders headers, ResponseStream body) -> {
                writeHead(response, status, headers);
                // Without chunked encoding Ratpack ends the stream by closing the connection, which callers cannot
                // distinguish from a killed process.
                response.getHeaders().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                response.sendStream(body);
            }
        }
    }

    private static void writeHead(final Response response, final int status, final HttpHeaders headers) {
        response.status(Status.of(status));
        headers.names().forEach(name -> response.getHeaders().set(name, headers.getAll(name)));
    }
}
