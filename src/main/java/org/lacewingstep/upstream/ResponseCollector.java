package org.lacewingstep.upstream;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;

/** Collects the events of one exchange into a complete response; used on one event loop only. */
public final class ResponseCollector implements Consumer<ExchangeEvent> {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Consumer<CompleteResponse> onComplete;
    private final Consumer<ExchangeEvent.Failed> onFailure;
    private final Runnable onStalled;

    private HttpResponse head;

    /**
     * Creates a collector.
     *
     * @param onComplete receives the complete response, not null
     * @param onFailure receives the failure if the exchange ends without a complete response, not null
     * @param onStalled runs when the upstream has sent nothing within the stall timeout of the request, not null
     */
    public ResponseCollector(
            final Consumer<CompleteResponse> onComplete,
            final Consumer<ExchangeEvent.Failed> onFailure,
            final Runnable onStalled) {
        this.onComplete = onComplete;
        this.onFailure = onFailure;
        this.onStalled = onStalled;
    }

    @Override
    public void accept(final ExchangeEvent event) {
        switch (event) {
            case ExchangeEvent.Head(HttpResponse response) -> head = response;
            case ExchangeEvent.Body(ByteBuf content) -> append(content);
            case ExchangeEvent.Stalled stalled -> onStalled.run();
            case ExchangeEvent.Complete() -> onComplete.accept(new CompleteResponse(head, body.toByteArray()));
            case ExchangeEvent.Failed failure -> onFailure.accept(failure);
        }
    }

    private void append(final ByteBuf content) {
        body.writeBytes(ByteBufUtil.getBytes(content));
        content.release();
    }
}
