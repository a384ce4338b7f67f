package org.lacewingstep.traffic;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import ratpack.func.Action;
import ratpack.handling.Context;

/**
 * Answers a request whose body is not wanted. The answer is sent at once, and the rest of the body is read and
 * discarded: a connection that is closed while its caller writes is reset, and the caller may never see the answer.
 */
final class UnreadBody {
    /** Longest time for which the rest of a body is discarded. */
    private static final int DISCARD_SECONDS = 5;

    private UnreadBody() {}

    /**
     * Sends a response, discards the body and closes the connection.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param response the response, a complete one, not null
     * @param maxBytes the largest number of bytes that are discarded
     */
    static void answer(final Context context, final CallResponse response, final long maxBytes) {
        final Channel channel = context.getDirectChannelAccess().getChannel();
        switch (response) {
            case CallResponse.Complete complete -> channel.writeAndFlush(message(complete));
            case CallResponse.Streamed streamed -> throw new IllegalStateException("a refusal is no stream");
        }
        channel.eventLoop().schedule(() -> channel.close(), DISCARD_SECONDS, TimeUnit.SECONDS);
        context.getRequest()
                .getBodyStream(maxBytes)
                .reduce(0L, (discarded, part) -> {
                    part.release();
                    return discarded;
                })
                .onError(failure -> close(context, channel))
                .then(discarded -> close(context, channel));
    }

    /** Takes the connection from Ratpack, which would send a response of its own. */
    private static void close(final Context context, final Channel channel) {
        context.getDirectChannelAccess().takeOwnership(Action.noop());
        channel.close();
    }

    private static FullHttpResponse message(final CallResponse.Complete response) {
        final FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        message.headers().set(response.headers());
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(message, response.body().length);
        return message;
    }
}
