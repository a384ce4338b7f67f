package org.lacewingstep.upstream;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;

/** Collects the parts of one answer until it is whole; used on one event loop. */
public final class AnswerCollector implements Consumer<ExchangeEvent> {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Consumer<ExchangeEvent.Failed> failed;
    private final Runnable quiet;
    private final Consumer<WholeAnswer> whole;

    private HttpResponse head;

    /**
     * Creates a collector.
     *
     * @param whole receives the answer, not null
     * @param failed receives the failure if it breaks off, not null
     * @param quiet called when the upstream has sent nothing for a while, not null
     */
    public AnswerCollector(
            final Consumer<WholeAnswer> whole, final Consumer<ExchangeEvent.Failed> failed, final Runnable quiet) {
        this.whole = whole;
        this.failed = failed;
        this.quiet = quiet;
    }

    @Override
    public void accept(final ExchangeEvent event) {
        switch (event) {
            case ExchangeEvent.Head(HttpResponse response) -> head = response;
            case ExchangeEvent.Body(ByteBuf content) -> append(content);
            case ExchangeEvent.Quiet() -> quiet.run();
            case ExchangeEvent.Complete() -> whole.accept(new WholeAnswer(head, body.toByteArray()));
            case ExchangeEvent.Failed failure -> failed.accept(failure);
        }
    }

    private void append(final ByteBuf content) {
        body.writeBytes(ByteBufUtil.getBytes(content));
        content.release();
    }
}
