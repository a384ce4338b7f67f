package org.lacewingstep.traffic;

import java.util.function.IntSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Response;
import ratpack.http.Status;
import ratpack.http.TypedData;

/** Reads calls from callers and writes the responses. */
public final class CallHandler implements Handler {
    private final IntSupplier maxBodyBytes;
    private final OpenCalls openCalls;

    /**
     * Creates a handler for all calls of this instance.
     *
     * @param openCalls registers open calls, not null
     * @param maxBodyBytes supplies the largest accepted request body in bytes, not null
     */
    public CallHandler(final OpenCalls openCalls, final IntSupplier maxBodyBytes) {
        this.openCalls = openCalls;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handle(final Context context) {
        context.getRequest().getBody(maxBodyBytes.getAsInt()).then(body -> startCall(context, body));
    }

    private void startCall(final Context context, final TypedData body) {
        final CallerRequest callerRequest = new CallerRequest(
                HttpMethod.valueOf(context.getRequest().getMethod().getName()),
                context.getRequest().getRawUri(),
                context.getRequest().getHeaders().getNettyHeaders(),
                body.getBytes());
        final Channel channel = context.getDirectChannelAccess().getChannel();
        final CallSession session = openCalls.open(callerRequest, channel);
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
