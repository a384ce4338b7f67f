package org.lacewingstep.upstream;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/**
 * An answer that is complete by its own framing.
 *
 * @param head the status and the headers, not null
 * @param body the body, not null
 */
public record WholeAnswer(HttpResponse head, byte[] body) {
    /**
     * Sends a request and waits for its whole answer.
     *
     * @param pool the connections of the event loop of the execution, not null
     * @param request the request, not null
     * @return the answer, whatever its status; fails with an {@link ExchangeFailure} if it breaks off
     */
    public static Promise<WholeAnswer> of(final UpstreamPool pool, final ExchangeRequest request) {
        return Promise.async(receiver -> {
            final Collector collector = new Collector(receiver);
            pool.send(request, collector::accept);
        });
    }

    /** Collects the parts of one answer. */
    private static final class Collector {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Downstream<? super WholeAnswer> receiver;

        private HttpResponse head;

        Collector(final Downstream<? super WholeAnswer> receiver) {
            this.receiver = receiver;
        }

        void accept(final ExchangeEvent event) {
            switch (event) {
                case ExchangeEvent.Head(HttpResponse response) -> head = response;
                case ExchangeEvent.Body(ByteBuf content) -> append(content);
                case ExchangeEvent.Quiet() -> {
                    // The request goes on until its limit.
                }
                case ExchangeEvent.Complete() -> receiver.success(new WholeAnswer(head, body.toByteArray()));
                case ExchangeEvent.Failed failed -> receiver.error(new ExchangeFailure(failed));
            }
        }

        private void append(final ByteBuf content) {
            body.writeBytes(ByteBufUtil.getBytes(content));
            content.release();
        }
    }
}
