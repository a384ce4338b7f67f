package org.lacewingstep.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Publishes the body of a streamed response and applies back-pressure to the upstream; all calls are made on one event
 * loop.
 */
final class ResponseStream implements Publisher<ByteBuf> {
    private final Runnable closeConnection;
    private final Runnable onCancel;
    private final Consumer<Boolean> setUpstreamReading;
    private final Deque<ByteBuf> buffered = new ArrayDeque<>();

    private boolean closed;
    private boolean finished;
    private boolean paused;
    private long requested;
    private Subscriber<? super ByteBuf> subscriber;

    /**
     * Creates an empty stream.
     *
     * @param setUpstreamReading called with false to pause reading from the upstream while parts are buffered, and with
     *     true to continue reading, not null
     * @param onCancel called when the subscriber cancels, not null
     * @param closeConnection closes the caller's connection immediately, not null
     */
    ResponseStream(
            final Consumer<Boolean> setUpstreamReading, final Runnable onCancel, final Runnable closeConnection) {
        this.closeConnection = closeConnection;
        this.setUpstreamReading = setUpstreamReading;
        this.onCancel = onCancel;
    }

    /** Marks the body as complete; the stream ends after the buffered parts have been published. */
    void complete() {
        finished = true;
        publishBuffered();
    }

    /**
     * Aborts the stream by closing the caller's connection, because Ratpack would frame the body after an error signal
     * like a complete one.
     */
    void abort() {
        if (!closed) {
            close();
            closeConnection.run();
        }
    }

    /**
     * Publishes a part of the body, or buffers the part until the subscriber requests more.
     *
     * @param part the bytes, whose ownership passes to the stream, not null
     */
    void offer(final ByteBuf part) {
        if (closed) {
            part.release();
            return;
        }
        buffered.add(part);
        publishBuffered();
    }

    @Override
    public void subscribe(final Subscriber<? super ByteBuf> receiver) {
        subscriber = receiver;
        receiver.onSubscribe(new Subscription() {
            @Override
            public void cancel() {
                close();
                onCancel.run();
            }

            @Override
            public void request(final long count) {
                requested = requested + count < 0 ? Long.MAX_VALUE : requested + count;
                publishBuffered();
            }
        });
    }

    private void close() {
        closed = true;
        buffered.forEach(ByteBuf::release);
        buffered.clear();
    }

    private void publishBuffered() {
        if (subscriber == null || closed) {
            return;
        }
        while (requested > 0 && !buffered.isEmpty()) {
            requested--;
            subscriber.onNext(buffered.poll());
            if (closed) {
                return;
            }
        }
        setPaused(!buffered.isEmpty());
        if (finished && buffered.isEmpty()) {
            close();
            subscriber.onComplete();
        }
    }

    private void setPaused(final boolean pause) {
        if (pause != paused) {
            paused = pause;
            setUpstreamReading.accept(!pause);
        }
    }
}
