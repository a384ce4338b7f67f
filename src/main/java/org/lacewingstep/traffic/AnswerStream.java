package org.lacewingstep.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** The body of a streamed answer; used on one event loop. */
final class AnswerStream implements Publisher<ByteBuf> {
    private final Runnable breakOff;
    private final Runnable cancelled;
    private final Consumer<Boolean> demand;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();

    private boolean closed;
    private boolean finished;
    private boolean held;
    private long requested;
    private Subscriber<? super ByteBuf> subscriber;

    /**
     * Creates a stream.
     *
     * @param demand is told whether more is wanted, when that changes, not null
     * @param cancelled is called when the caller wants no more, not null
     * @param breakOff closes the caller's connection at once, not null
     */
    AnswerStream(final Consumer<Boolean> demand, final Runnable cancelled, final Runnable breakOff) {
        this.breakOff = breakOff;
        this.demand = demand;
        this.cancelled = cancelled;
    }

    /** Ends the stream as complete. */
    void complete() {
        finished = true;
        drain();
    }

    /** Breaks the stream off with its connection, as an end by error would be framed like a complete answer. */
    void fail() {
        if (!closed) {
            close();
            breakOff.run();
        }
    }

    /**
     * Adds a part.
     *
     * @param part the bytes, owned by the stream from now on, not null
     */
    void offer(final ByteBuf part) {
        if (closed) {
            part.release();
            return;
        }
        waiting.add(part);
        drain();
    }

    @Override
    public void subscribe(final Subscriber<? super ByteBuf> receiver) {
        subscriber = receiver;
        receiver.onSubscribe(new Subscription() {
            @Override
            public void cancel() {
                close();
                cancelled.run();
            }

            @Override
            public void request(final long count) {
                requested = requested + count < 0 ? Long.MAX_VALUE : requested + count;
                drain();
            }
        });
    }

    private void close() {
        closed = true;
        waiting.forEach(ByteBuf::release);
        waiting.clear();
    }

    private void drain() {
        if (subscriber == null || closed) {
            return;
        }
        while (requested > 0 && !waiting.isEmpty()) {
            requested--;
            subscriber.onNext(waiting.poll());
            if (closed) {
                return;
            }
        }
        hold(!waiting.isEmpty());
        if (finished && waiting.isEmpty()) {
            close();
            subscriber.onComplete();
        }
    }

    private void hold(final boolean next) {
        if (next != held) {
            held = next;
            demand.accept(!next);
        }
    }
}
