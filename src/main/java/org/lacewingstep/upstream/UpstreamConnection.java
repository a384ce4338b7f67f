package org.lacewingstep.upstream;

import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.lacewingstep.domain.PeerAddress;

/**
 * A connection to an upstream that serves one exchange at a time; used on one event loop.
 *
 * <p>Answers to other requests are skipped, and a connection that carried one is not used again.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** How long a connection is kept whose upstream states no limit. */
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(2);

    /** Part of the stated limit that is left for the way of a request. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    private final PeerAddress address;
    private final Channel channel;
    private final UpstreamPool pool;

    private UpstreamExchange current;
    private boolean hasHead;
    private Duration idleLimit = DEFAULT_IDLE;
    private boolean reset;
    private boolean reusable = true;
    private boolean skipping;

    /**
     * Creates a connection.
     *
     * @param pool the pool that it belongs to, not null
     * @param address the upstream's address, not null
     * @param channel the open channel, not null
     */
    UpstreamConnection(final UpstreamPool pool, final PeerAddress address, final Channel channel) {
        this.pool = pool;
        this.address = address;
        this.channel = channel;
    }

    /**
     * Gets the upstream's address.
     *
     * @return the address, never null
     */
    PeerAddress address() {
        return address;
    }

    /**
     * Sends a request.
     *
     * @param exchange the exchange, not null
     */
    void begin(final UpstreamExchange exchange) {
        current = exchange;
        hasHead = false;
        skipping = false;
        channel.config().setAutoRead(true);
        final ExchangeRequest request = exchange.request();
        final FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        message.headers().set(request.headers());
        if (request.body().length > 0 || HttpMethod.POST.equals(request.method())) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        reusable = reusable && HttpUtil.isKeepAlive(message);
        exchange.sentOver(this);
        if (!channel.isActive()) {
            message.release();
            current = null;
            exchange.report(new ExchangeEvent.Failed(false, false, "the connection was closed before use"));
            return;
        }
        channel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                fail(false, "the request was not written: " + written.cause().getMessage());
            }
        });
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /** Ends the exchange, since the upstream sends nothing, and drops the idle connections beside this one. */
    void fellSilent() {
        pool.closeIdle(address);
        fail(true, "the upstream sent nothing");
    }

    /**
     * Tells how long the connection may stay idle.
     *
     * @return the time, not null
     */
    Duration idleLimit() {
        return idleLimit;
    }

    /**
     * Tells whether the connection is open.
     *
     * @return true if it is
     */
    boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Lets the answer flow or holds it back.
     *
     * @param reading whether more is read
     */
    void setReading(final boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        fail(false, reset ? "the connection was reset" : "the connection was closed");
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        reset = true;
        channel.close();
    }

    private void readHead(final HttpResponse response) {
        if (current == null) {
            channel.close();
        } else if (response.decoderResult().isFailure()) {
            fail(false, "the answer is not HTTP");
        } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
        } else if (!current.request().belongs().test(response)) {
            skipping = true;
            reusable = false;
        } else {
            skipping = false;
            hasHead = true;
            reusable = reusable && HttpUtil.isKeepAlive(response) && isFramed(response);
            idleLimit = idleLimit(response.headers().get("Keep-Alive"));
            current.report(new ExchangeEvent.Head(response));
        }
    }

    private void readContent(final HttpContent content) {
        if (current == null || skipping || !hasHead) {
            content.release();
            skipping = skipping && !(content instanceof LastHttpContent);
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            fail(false, "the answer's body is not HTTP");
            return;
        }
        if (content.content().isReadable()) {
            current.report(new ExchangeEvent.Body(content.content()));
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        if (reset) {
            fail(false, "the connection was reset");
            return;
        }
        final UpstreamExchange ended = current;
        current = null;
        if (ended == null) {
            channel.close();
            return;
        }
        if (reusable && !ended.hasEnded() && channel.isActive()) {
            channel.config().setAutoRead(true);
            pool.release(this);
        } else {
            channel.close();
        }
        ended.report(new ExchangeEvent.Complete());
    }

    private void fail(final boolean silent, final String reason) {
        final UpstreamExchange ended = current;
        current = null;
        channel.close();
        if (ended != null) {
            ended.report(new ExchangeEvent.Failed(true, silent, reason));
        }
    }

    private static boolean isFramed(final HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Reads the time of a header such as {@code timeout=5}. */
    private static Duration idleLimit(final String header) {
        if (header == null) {
            return DEFAULT_IDLE;
        }
        for (final String part : header.split(",")) {
            final String text = part.trim();
            if (text.matches("timeout=\\d{1,6}")) {
                final Duration stated = Duration.ofSeconds(Long.parseLong(text.substring("timeout=".length())));
                return stated.minus(IDLE_MARGIN);
            }
        }
        return DEFAULT_IDLE;
    }
}
