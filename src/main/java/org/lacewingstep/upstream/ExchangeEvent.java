package org.lacewingstep.upstream;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** An event of an exchange with an upstream; {@link Complete} or {@link Failed} is the last event. */
public sealed interface ExchangeEvent {
    /**
     * The status and the headers of the response have arrived.
     *
     * @param response the status and the headers, not null
     */
    record Head(HttpResponse response) implements ExchangeEvent {}

    /**
     * A part of the response body has arrived.
     *
     * @param content the bytes, to be released by the receiver, not null
     */
    record Body(ByteBuf content) implements ExchangeEvent {}

    /** The response is complete according to the HTTP message framing. */
    record Complete() implements ExchangeEvent {}

    /**
     * The response has made no progress within {@link ExchangeRequest#stallTimeout()}; the exchange continues.
     *
     * <p>Reported again after {@link ExchangeRequest#retryTimeout()}, and then repeatedly until there is progress.
     *
     * @param silence the time since the last progress, not null
     */
    record Stalled(Duration silence) implements ExchangeEvent {}

    /**
     * The exchange ended without a complete response.
     *
     * @param sent whether the upstream may have received the request
     * @param timedOut whether the upstream sent nothing within {@link ExchangeRequest#readTimeout()}
     * @param reason the cause of the failure, not null
     */
    record Failed(boolean sent, boolean timedOut, String reason) implements ExchangeEvent {}
}
