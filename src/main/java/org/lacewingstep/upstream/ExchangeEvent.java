package org.lacewingstep.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** What happens to a request at an upstream; after {@link Complete} or {@link Failed} nothing more. */
public sealed interface ExchangeEvent {
    /**
     * Status and headers of the answer have arrived.
     *
     * @param response the status and the headers, not null
     */
    record Head(HttpResponse response) implements ExchangeEvent {}

    /**
     * A part of the answer's body has arrived.
     *
     * @param content the bytes, owned by the receiver, not null
     */
    record Body(ByteBuf content) implements ExchangeEvent {}

    /** The answer is complete by its own framing. */
    record Complete() implements ExchangeEvent {}

    /** The upstream has sent nothing for a while; the request goes on. */
    record Quiet() implements ExchangeEvent {}

    /**
     * The exchange broke off.
     *
     * @param sent whether the upstream may have received the request
     * @param silent whether the upstream sent nothing for too long
     * @param reason what went wrong, not null
     */
    record Failed(boolean sent, boolean silent, String reason) implements ExchangeEvent {}
}
