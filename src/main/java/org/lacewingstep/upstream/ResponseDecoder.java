package org.lacewingstep.upstream;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the responses on one connection, and reports those that Netty accepts although they are not valid HTTP as
 * failed; used on one event loop only.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADERS_BYTES = 64 * 1024;
    private static final int MAX_STATUS_LINE_BYTES = 16 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Netty parses the status as any integer, so that 000 would become a status and 0200 a success. */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    /** The versions that have the syntax of HTTP/1.1; Netty takes any text before the status for a version. */
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

    /** A reason phrase has no control characters other than tabs. */
    private static final Pattern REASON = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    private final FieldNameCheck fieldNames = new FieldNameCheck();

    private boolean chunked;
    private HttpMethod requestMethod = HttpMethod.GET;

    /** Creates a decoder at the start of a connection. */
    ResponseDecoder() {
        super(MAX_STATUS_LINE_BYTES, MAX_HEADERS_BYTES, MAX_CHUNK_BYTES);
    }

    /**
     * Sets the method of the request that the next responses answer; a response to HEAD has no body.
     *
     * @param method the method, not null
     */
    void setRequestMethod(final HttpMethod method) {
        requestMethod = method;
    }

    /**
     * Checks the bytes of heads and trailers that Netty has read, as it cuts a field name at its first blank. Bytes of
     * a body are not checked: each part of it starts the check again, so that only what follows the last part counts.
     */
    @Override
    protected void decode(final ChannelHandlerContext context, final ByteBuf buffer, final List<Object> messages)
            throws Exception {
        final int start = buffer.readerIndex();
        final int earlierMessages = messages.size();
        super.decode(context, buffer, messages);
        if (messages.size() == earlierMessages || !isPartOfBody(messages.get(earlierMessages))) {
            buffer.forEachByte(start, buffer.readerIndex() - start, fieldNames);
        }
        for (int i = earlierMessages; i < messages.size(); i++) {
            final HttpObject message = (HttpObject) messages.get(i);
            if (message instanceof HttpResponse response) {
                chunked = HttpUtil.isTransferEncodingChunked(response);
                checkTransferEncoding(response);
            }
            if (fieldNames.hasFoundBlank()) {
                message.setDecoderResult(DecoderResult.failure(new DecoderException("a field name has a blank")));
            }
            fieldNames.reset();
        }
    }

    /** Fails a response with a transfer coding that was not asked for, as its body is not the body of the answer. */
    private static void checkTransferEncoding(final HttpResponse response) {
        final boolean encoded = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(value -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value.trim()));
        if (encoded && response.decoderResult().isSuccess()) {
            response.setDecoderResult(DecoderResult.failure(new DecoderException("unknown transfer coding")));
        }
    }

    /** Returns whether a message is neither a head nor the end of a body in chunks, which may have a trailer. */
    private boolean isPartOfBody(final Object message) {
        return !(message instanceof HttpResponse) && !(chunked && message instanceof LastHttpContent);
    }

    @Override
    protected HttpMessage createMessage(final String[] statusLine) {
        if (!STATUS_CODE.matcher(statusLine[1]).matches()) {
            throw new DecoderException("the status code is not a number from 100 to 599");
        }
        if (!VERSION.matcher(statusLine[0]).matches()
                || !REASON.matcher(statusLine[2]).matches()) {
            throw new DecoderException("the status line is not one of HTTP/1");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
    }
}
