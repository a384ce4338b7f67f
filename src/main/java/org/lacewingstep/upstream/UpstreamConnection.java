package org.lacewingstep.upstream;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.lacewingstep.domain.PeerAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to an upstream that carries one exchange at a time; used on one event loop only.
 *
 * <p>Skips a response that does not belong to the current request, and is not reused after such a response.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Responses in an exchange that are skipped, because they are informational or belong to another request. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    /** Bytes of bodies of skipped responses in an exchange. */
    private static final int MAX_SKIPPED_BYTES = 64 * 1024;

    /** Bytes of a request's body that are written at once. */
    private static final int BODY_SLICE_BYTES = 64 * 1024;

    /** Time in which the reset follows the end of the output of an upstream that has closed with unread bytes. */
    private static final Duration RESET_DELAY = Duration.ofMillis(5);

    private static final Logger LOGGER = LoggerFactory.getLogger(UpstreamConnection.class);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private final PeerAddress address;
    private final SocketChannel channel;
    private final ResponseDecoder decoder;
    private final UpstreamPool pool;

    private UpstreamExchange currentExchange;
    private boolean bodyWritten;
    private boolean headReceived;
    private Duration idleLimit = IdleLimit.DEFAULT;
    private boolean reset;
    private boolean responseEnded;
    private boolean reusable = true;
    private int skippedBytes;
    private int skippedResponses;
    private boolean skippingResponse;
    private boolean succeeded;

    /**
     * Creates a connection.
     *
     * @param pool the pool that the connection belongs to, not null
     * @param address the upstream's address, not null
     * @param channel the open channel, whose pipeline has a {@link ResponseDecoder}, not null
     */
    UpstreamConnection(final UpstreamPool pool, final PeerAddress address, final SocketChannel channel) {
        this.pool = pool;
        this.address = address;
        this.channel = channel;
        this.decoder = channel.pipeline().get(ResponseDecoder.class);
    }

    /**
     * Returns the upstream's address.
     *
     * @return the address, never null
     */
    PeerAddress address() {
        return address;
    }

    /**
     * Starts an exchange by sending its request.
     *
     * @param exchange the exchange, not null
     */
    void begin(final UpstreamExchange exchange) {
        currentExchange = exchange;
        headReceived = false;
        responseEnded = false;
        skippedBytes = 0;
        skippedResponses = 0;
        skippingResponse = false;
        channel.config().setAutoRead(true);
        final ExchangeRequest request = exchange.request();
        decoder.setRequestMethod(request.method());
        final HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        message.headers().set(request.headers());
        if (request.body().length > 0 || HttpMethod.POST.equals(request.method())) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        reusable = reusable && HttpUtil.isKeepAlive(message);
        bodyWritten = false;
        channel.config().setAllowHalfClosure(true);
        exchange.attach(this);
        if (!channel.isActive()) {
            currentExchange = null;
            exchange.report(new ExchangeEvent.Failed(false, false, "the connection was closed before use"));
            return;
        }
        channel.write(message);
        writeBody(exchange, 0);
    }

    /** Writes the body in slices, one after the other, as each is copied to direct memory until it is sent. */
    private void writeBody(final UpstreamExchange exchange, final int offset) {
        final byte[] body = exchange.request().body();
        final int length = Math.min(BODY_SLICE_BYTES, body.length - offset);
        final ByteBuf slice = Unpooled.wrappedBuffer(body, offset, length);
        final boolean last = offset + length == body.length;
        channel.writeAndFlush(last ? new DefaultLastHttpContent(slice) : new DefaultHttpContent(slice))
                .addListener(written -> {
                    if (currentExchange != exchange) {
                        return;
                    }
                    if (!written.isSuccess()) {
                        fail(
                                false,
                                "the request was not written: "
                                        + written.cause().getMessage());
                    } else if (!last) {
                        writeBody(exchange, offset + length);
                    } else {
                        bodyWritten = true;
                        if (responseEnded) {
                            confirmEnd();
                        }
                    }
                });
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /** Closes the idle connections to the same address. */
    void closeIdleNeighbors() {
        pool.closeIdle(address);
    }

    /**
     * Fails the exchange after a read timeout and closes the idle connections to the same address.
     *
     * @param silence the time since the last progress of the response, not null
     */
    void timeOut(final Duration silence) {
        closeIdleNeighbors();
        fail(true, "the upstream sent nothing for " + silence.toMillis() + " ms");
    }

    /**
     * Returns how long the connection may stay idle and still be reused.
     *
     * @return the idle limit, never null
     */
    Duration idleLimit() {
        return idleLimit;
    }

    /**
     * Returns whether the connection is open.
     *
     * @return true if the channel is active
     */
    boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Resumes or pauses reading from the channel.
     *
     * @param reading true to resume, false to pause
     */
    void setAutoRead(final boolean reading) {
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

    /** Fails an exchange whose response is incomplete at the end of the upstream's output. */
    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof ChannelInputShutdownEvent && !responseEnded) {
            fail(false, "the connection was closed");
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        reset = true;
        channel.close();
    }

    private void readHead(final HttpResponse response) {
        if (currentExchange == null) {
            channel.close();
        } else if (response.decoderResult().isFailure() || containsStatusLine(response)) {
            fail(false, "the response is not valid HTTP");
        } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipResponse();
        } else if (!currentExchange.request().responseFilter().test(response)) {
            skipForeignResponse(response);
        } else {
            succeeded = response.status().codeClass() == HttpStatusClass.SUCCESS;
            skippingResponse = false;
            headReceived = true;
            reusable = reusable && HttpUtil.isKeepAlive(response) && isFramed(response);
            idleLimit = IdleLimit.of(response.headers().get("Keep-Alive"));
            currentExchange.report(new ExchangeEvent.Head(response));
        }
    }

    private void skipForeignResponse(final HttpResponse response) {
        reusable = false;
        LOGGER.atInfo()
                .addKeyValue("step", "exchange")
                .addKeyValue("address", address)
                .addKeyValue("status", response.status().code())
                .log("skipped a response that belongs to no request");
        if (isFramed(response)) {
            skipResponse();
        } else {
            fail(false, "a response that belongs to no request takes up the connection");
        }
    }

    private void skipResponse() {
        skippingResponse = true;
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail(false, "the upstream sends responses that belong to no request");
        }
    }

    private void skipContent(final HttpContent content) {
        skippedBytes += content.content().readableBytes();
        skippingResponse = skippingResponse && !(content instanceof LastHttpContent);
        content.release();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail(false, "the upstream sends a body that belongs to no request");
        }
    }

    private void readContent(final HttpContent content) {
        if (currentExchange == null || skippingResponse || !headReceived) {
            skipContent(content);
            return;
        }
        if (content.decoderResult().isFailure()) {
            content.release();
            fail(false, "the response body is not valid HTTP");
            return;
        }
        final boolean passedOn = succeeded && currentExchange.request().form() instanceof ResponseForm.Streamed;
        if (!passedOn && !currentExchange.countBufferedBytes(content.content().readableBytes())) {
            content.release();
            fail(false, "the response is too long");
            return;
        }
        if (content.content().isReadable()) {
            currentExchange.report(new ExchangeEvent.Body(content.content()));
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
        if (channel.isInputShutdown()) {
            responseEnded = true;
            if (bodyWritten) {
                confirmEnd();
            }
            return;
        }
        end();
    }

    /**
     * Completes a response that ended with the upstream's output, after the request has been written. If the upstream
     * has closed with unread bytes, its kernel resets the connection, which only a write shows, and the response may
     * have broken off. A server may ignore an empty line before a request (RFC 9112, 2.2).
     */
    private void confirmEnd() {
        channel.eventLoop().schedule(this::probeEnd, RESET_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void probeEnd() {
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII))
                .addListener(written -> {
                    if (written.isSuccess()) {
                        end();
                    } else {
                        fail(false, "the connection was reset");
                    }
                });
    }

    /** Reports that the response is complete and keeps the connection if it can be used again. */
    private void end() {
        final UpstreamExchange exchange = currentExchange;
        currentExchange = null;
        if (exchange == null) {
            channel.close();
            return;
        }
        if (reusable && bodyWritten && !exchange.hasEnded() && channel.isActive()) {
            channel.config().setAutoRead(true);
            channel.config().setAllowHalfClosure(false);
            pool.release(this);
        } else {
            channel.close();
        }
        exchange.report(new ExchangeEvent.Complete());
    }

    private void fail(final boolean timedOut, final String reason) {
        final UpstreamExchange exchange = currentExchange;
        currentExchange = null;
        channel.close();
        if (exchange != null) {
            exchange.report(new ExchangeEvent.Failed(true, timedOut, reason));
        }
    }

    /** Returns whether a head broke off and continues with the status line of another response. */
    private static boolean containsStatusLine(final HttpResponse response) {
        if (isStatusLineIn(response.status().reasonPhrase())) {
            return true;
        }
        for (final Map.Entry<String, String> header : response.headers()) {
            if (isStatusLineIn(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLineIn(final String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }

    private static boolean isFramed(final HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }
}
