package org.lacewingstep.traffic;

import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/**
 * Requests the items of a stream one at a time; all calls are made on the event loop of one execution.
 *
 * @param <T> the type of the stream's items
 */
final class PullSubscriber<T> implements Subscriber<T> {
    private boolean cancelled;
    private Signal<T> terminalSignal;
    private Subscription subscription;
    private Downstream<? super Signal<T>> pendingReceiver;

    /** Cancels the subscription, or the later subscription if none exists yet. */
    void cancel() {
        cancelled = true;
        if (subscription != null) {
            subscription.cancel();
        }
    }

    /**
     * Requests the next item and returns the next signal.
     *
     * @return the next item, or the end or failure of the stream
     */
    Promise<Signal<T>> next() {
        return Promise.async(receiver -> {
            if (terminalSignal != null) {
                receiver.success(terminalSignal);
            } else {
                pendingReceiver = receiver;
                subscription.request(1);
            }
        });
    }

    @Override
    public void onComplete() {
        terminate(new Signal.Ended<>());
    }

    @Override
    public void onError(final Throwable failure) {
        terminate(new Signal.Broken<>(failure));
    }

    @Override
    public void onNext(final T item) {
        emit(new Signal.Item<>(item));
    }

    @Override
    public void onSubscribe(final Subscription opened) {
        subscription = opened;
        if (cancelled) {
            opened.cancel();
        }
    }

    private void emit(final Signal<T> signal) {
        final Downstream<? super Signal<T>> receiver = pendingReceiver;
        pendingReceiver = null;
        if (receiver != null) {
            receiver.success(signal);
        }
    }

    private void terminate(final Signal<T> signal) {
        terminalSignal = signal;
        emit(signal);
    }

    /**
     * A signal of a stream: an item, the end or a failure.
     *
     * @param <T> the type of the stream's items
     */
    sealed interface Signal<T> {
        /**
         * The stream failed.
         *
         * @param <T> the type of the stream's items
         * @param failure the cause of the failure, not null
         */
        record Broken<T>(Throwable failure) implements Signal<T> {}

        /**
         * The stream ended without failure.
         *
         * @param <T> the type of the stream's items
         */
        record Ended<T>() implements Signal<T> {}

        /**
         * The stream published an item.
         *
         * @param <T> the type of the stream's items
         * @param value the published item, not null
         */
        record Item<T>(T value) implements Signal<T> {}
    }
}
